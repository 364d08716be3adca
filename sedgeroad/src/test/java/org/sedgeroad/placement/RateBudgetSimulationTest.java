package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sedgeroad.announcement.AnnouncementTable;
import org.sedgeroad.announcement.ReceivedAnnouncement;
import org.sedgeroad.announcement.VersionedAnnouncement;
import org.sedgeroad.exchange.ChangeExchange;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.presence.HubExchange;
import org.sedgeroad.presence.LoadMessage;
import org.sedgeroad.presence.LoadReport;

/** Guards against instances that together exceed the rate that an endpoint accepts. */
class RateBudgetSimulationTest {
  private static final double ANSWER_MILLIS = 30;
  private static final double WINDOW_MILLIS = 4_000;
  private static final double STABLE_MILLIS = 4_000;

  private final VirtualTime time = new VirtualTime();
  private final Random random = new Random(1);
  private final Map<String, Member> members = new LinkedHashMap<>();
  private final List<Send> sends = new ArrayList<>();
  private final ServiceEndpoint endpoint =
      new ServiceEndpoint("e1", "engine", "10.0.0.1:80", "d0", 8, false);
  private BiPredicate<String, String> cut = (from, to) -> false;
  private double networkMillis = 12;
  private double lossRate;
  private double rate = 2.3;

  private record Send(double millis, String instance) {}

  /** An instance that always has requests for the endpoint, unless it is idle. */
  private final class Member {
    private final String name;
    private final String domain;
    private HubExchange hubs;
    private AnnouncementTable table;
    private ChangeExchange<VersionedAnnouncement> exchange;
    private AnnouncedRestrictions restrictions;
    private long incarnation;
    private boolean frozen;
    private boolean idle;

    Member(String name, String domain) {
      this.name = name;
      this.domain = domain;
      restart();
      time.after(random.nextDouble() * HubExchange.TICK_MILLIS, this::tick);
    }

    void restart() {
      incarnation = random.nextLong(Long.MAX_VALUE);
      hubs =
          new HubExchange(
              name,
              domain,
              incarnation,
              () -> domainsOfOthers(name),
              (message, names) -> names.forEach(to -> transmit(message, name, to)),
              time,
              time,
              () -> {});
      table = new AnnouncementTable(time);
      exchange =
          new ChangeExchange<>(table, hubs::spreadAnnouncements, 256, hubs::isHub, time, time);
      hubs.setAnnouncementListener(exchange::receive);
      restrictions =
          new AnnouncedRestrictions(
              name, domain, of -> "region", () -> domainsOfOthers(name), table, hubs.view(), time);
    }

    private void tick() {
      time.after(HubExchange.TICK_MILLIS, this::tick);
      if (frozen) {
        return;
      }
      hubs.tick();
      restrictions.update(members.size() - 1);
      while (!idle && !table.isEmpty() && restrictions.allowance(endpoint) > 0) {
        send();
      }
      Map<String, Integer> sent = restrictions.sentToLimited();
      hubs.report(
          new LoadReport(name, incarnation, 0, 0, 0, 0, Map.of(), Map.of(), Map.of(), sent, false));
    }

    void send() {
      restrictions.sent(endpoint);
      sends.add(new Send(time.nanos() / 1e6, name));
      AnnouncementTable told = table;
      time.after(
          ANSWER_MILLIS,
          () -> {
            if (told == table && table.record(endpoint.incarnation(), announced())) {
              exchange.changed();
            }
          });
    }
  }

  private ReceivedAnnouncement announced() {
    return new ReceivedAnnouncement(OptionalDouble.of(rate), false, 0);
  }

  private Map<String, String> domainsOfOthers(String name) {
    Map<String, String> domains = new HashMap<>();
    members.forEach((other, member) -> domains.put(other, member.domain));
    domains.remove(name);
    return domains;
  }

  private void transmit(LoadMessage message, String from, String to) {
    if (random.nextDouble() >= lossRate && !cut.test(from, to) && !members.get(from).frozen) {
      time.after(networkMillis * (0.5 + random.nextDouble()), () -> deliver(message, to));
    }
  }

  private void deliver(LoadMessage message, String to) {
    Member receiver = members.get(to);
    if (receiver.frozen) {
      time.after(100, () -> deliver(message, to));
    } else {
      receiver.hubs.receive(message);
    }
  }

  /** Starts instances; each of them sends one request and learns the limit. */
  private void start(int domains, int membersOfDomain) {
    for (int domain = 0; domain < domains; domain++) {
      for (int index = 0; index < membersOfDomain; index++) {
        String name = "d" + domain + "-i" + index;
        members.put(name, new Member(name, "d" + domain));
      }
    }
    run(2_000);
    members.get("d0-i0").send();
    run(STABLE_MILLIS);
    sends.clear();
  }

  private void run(double millis) {
    time.runUntil(time.nanos() / 1e6 + millis);
  }

  /** Returns the most requests within a window, without those of some instances. */
  private int most(Set<String> excused) {
    List<Double> times =
        sends.stream()
            .filter(send -> !excused.contains(send.instance()))
            .map(Send::millis)
            .sorted()
            .toList();
    int most = 0;
    int begin = 0;
    for (int index = 0; index < times.size(); index++) {
      while (times.get(index) - times.get(begin) >= WINDOW_MILLIS) {
        begin++;
      }
      most = Math.max(most, index - begin + 1);
    }
    return most;
  }

  private void assertWithinLimit(String... excused) {
    int allowed = (int) (1.5 * rate * WINDOW_MILLIS / 1_000 + 5);
    int most = most(new HashSet<>(List.of(excused)));
    assertTrue(most <= allowed, most + " requests, " + allowed + " allowed");
  }

  private void assertUsed(double share, double millis) {
    double expected = share * rate * millis / 1_000;
    assertTrue(sends.size() >= expected, sends.size() + " requests, " + expected + " expected");
  }

  private List<String> names(int domain) {
    return members.keySet().stream().filter(name -> name.startsWith("d" + domain)).toList();
  }

  @Nested
  class SteadyDemand {
    @ParameterizedTest
    @ValueSource(doubles = {0.05, 0.4, 1, 2.3, 7, 40})
    void usesTheRateAndDoesNotExceedIt(double requestsPerSecond) {
      rate = requestsPerSecond;
      start(3, 3);
      run(80_000);
      assertWithinLimit();
      assertUsed(0.7, 80_000);
    }

    @Test
    void doesNotExceedItOnAHundredInstances() {
      start(4, 25);
      run(12_000);
      assertWithinLimit();
      assertUsed(0.7, 12_000);
    }

    @Test
    void doesNotExceedItOnOneInstance() {
      start(1, 1);
      run(20_000);
      assertWithinLimit();
      assertUsed(0.7, 20_000);
    }
  }

  @Nested
  class UnevenDemand {
    @Test
    void usesTheRateAtTheOnlySenderWithRequests() {
      start(3, 3);
      members.values().forEach(member -> member.idle = true);
      run(STABLE_MILLIS);
      String busy =
          members.values().stream()
              .filter(member -> member.restrictions.rate(endpoint).getAsDouble() > 0)
              .findFirst()
              .orElseThrow()
              .name;
      sends.clear();
      members.get(busy).idle = false;
      run(20_000);
      assertWithinLimit();
      assertUsed(0.7, 20_000);
    }

    @Test
    void doesNotExceedItIfAllDemandReturnsAtOnce() {
      start(3, 3);
      for (int round = 0; round < 10; round++) {
        members.values().forEach(member -> member.idle = true);
        run(4_500);
        members.values().forEach(member -> member.idle = false);
        run(1_500);
      }
      assertWithinLimit();
    }
  }

  @Nested
  class Disruption {
    @Test
    void ofEachHubInTurnDoesNotExceedTheRate() {
      start(3, 3);
      for (String name : List.copyOf(members.keySet())) {
        members.get(name).frozen = true;
        run(3_000);
        members.get(name).frozen = false;
        run(1_000);
      }
      assertWithinLimit();
    }

    @Test
    void byRestartsInTurnDoesNotExceedTheRate() {
      start(3, 3);
      for (String name : List.copyOf(members.keySet())) {
        members.get(name).restart();
        run(2_000);
      }
      assertWithinLimit();
    }

    @Test
    void byLostMessagesDoesNotExceedTheRate() {
      start(3, 3);
      lossRate = 0.4;
      run(30_000);
      assertWithinLimit();
    }

    @Test
    void byLateMessagesDoesNotExceedTheRate() {
      start(3, 3);
      networkMillis = 200;
      run(30_000);
      assertWithinLimit();
    }

    @Test
    void byASplitDoesNotExceedTheRate() {
      start(3, 3);
      Set<String> side = new HashSet<>(names(0));
      cut = (from, to) -> side.contains(from) != side.contains(to);
      run(10_000);
      cut = (from, to) -> false;
      run(10_000);
      assertWithinLimit();
    }

    @Test
    void byInstancesThatHearNobodyDoesNotExceedTheRate() {
      start(3, 3);
      cut = (from, to) -> true;
      run(10_000);
      cut = (from, to) -> false;
      run(10_000);
      assertWithinLimit();
    }

    @Test
    void byAOneWayCutDoesNotExceedTheRate() {
      start(3, 3);
      Set<String> deaf = new HashSet<>(names(1));
      cut = (from, to) -> deaf.contains(to) && !deaf.contains(from);
      run(10_000);
      cut = (from, to) -> false;
      run(10_000);
      assertWithinLimit();
    }
  }

  @Nested
  class GoneInstance {
    @Test
    void leavesItsShareToTheOthers() {
      start(3, 3);
      Set<String> gone = new HashSet<>();
      for (String name : members.keySet()) {
        if (members.get(name).restrictions.rate(endpoint).getAsDouble() > 0 && gone.size() < 3) {
          gone.add(name);
        }
      }
      gone.forEach(name -> members.get(name).frozen = true);
      run(SenderSelection.SILENCE_MILLIS + 3_000);
      sends.clear();
      run(20_000);
      assertWithinLimit();
      assertUsed(0.7, 20_000);
    }
  }
}
