package org.sedgeroad.suspicion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.exchange.ChangeExchange;
import org.sedgeroad.placement.VirtualTime;
import org.sedgeroad.presence.CrashNews;
import org.sedgeroad.presence.HubExchange;
import org.sedgeroad.presence.LoadMessage;
import org.sedgeroad.presence.LoadReport;

/** Guards against crashes that only some instances know, and against news that never ends. */
class SuspicionExchangeTest {
  private static final double NETWORK_MILLIS = 12;

  /** Bytes that control may cost an instance in a second. */
  private static final int CONTROL_BYTES_PER_SECOND = 8_000;

  /** Size of a message about one request, in bytes. */
  private static final int MESSAGE_BYTES = 200;

  private static final List<String> KEYS = List.of("part-first", "part-dead", "request-1");

  private final VirtualTime time = new VirtualTime();
  private final Random random = new Random(1);
  private final Map<String, Member> members = new LinkedHashMap<>();
  private BiPredicate<String, String> cut = (from, to) -> false;
  private double lossRate;
  private int news;

  private final class Member {
    private final String name;
    private final String domain;
    private final HubExchange hubs;
    private final SuspicionTable table;
    private final ChangeExchange<CrashSeries> exchange;

    Member(String name, String domain) {
      this.name = name;
      this.domain = domain;
      this.hubs =
          new HubExchange(
              name,
              domain,
              random.nextLong(Long.MAX_VALUE),
              () -> domainsOfOthers(name),
              (message, names) -> names.forEach(to -> send(message, name, to)),
              time,
              time,
              () -> {});
      this.table = new SuspicionTable(time);
      this.exchange =
          new ChangeExchange<>(
              table, hubs::spread, SuspicionTable.SERIES_IN_MESSAGE, hubs::isHub, time, time);
      hubs.setCrashListener(exchange::receive);
      tick();
    }

    private void tick() {
      hubs.tick();
      hubs.report(
          new LoadReport(name, 1, 0, 0, 0, 0, Map.of(), Map.of(), Map.of(), Map.of(), false));
      time.after(HubExchange.TICK_MILLIS, this::tick);
    }

    void crash(String endpoint) {
      table.recordCrash(endpoint, table.series(KEYS));
      exchange.changed();
    }

    void answer() {
      table.recordAnswer(KEYS);
      exchange.changed();
    }
  }

  private Map<String, String> domainsOfOthers(String name) {
    Map<String, String> domains = new HashMap<>();
    members.forEach((other, member) -> domains.put(other, member.domain));
    domains.remove(name);
    return domains;
  }

  private void send(LoadMessage message, String from, String to) {
    news += message instanceof CrashNews ? 1 : 0;
    if (random.nextDouble() >= lossRate && !cut.test(from, to)) {
      time.after(NETWORK_MILLIS, () -> members.get(to).hubs.receive(message));
    }
  }

  private void start(int domains, int membersOfDomain) {
    for (int domain = 0; domain < domains; domain++) {
      for (int index = 0; index < membersOfDomain; index++) {
        String name = "d" + domain + "-i" + index;
        members.put(name, new Member(name, "d" + domain));
      }
    }
    run(2_000);
  }

  private void run(double millis) {
    time.runUntil(time.nanos() / 1e6 + millis);
  }

  private long knowing(int length) {
    return members.values().stream()
        .filter(member -> member.table.series("part-dead").length() == length)
        .count();
  }

  @Nested
  class Crash {
    @Test
    void isKnownEverywhereWithinTheReportWait() {
      start(3, 3);
      members.get("d0-i0").crash("e0");
      run(SuspicionTable.REPORT_WAIT_MILLIS);
      assertEquals(9, knowing(1));
    }

    /** Five endpoints may crash at five instances, each of which sees one. */
    @Test
    void extendsTheSeriesOfAnotherInstance() {
      start(3, 3);
      for (int index = 0; index < 3; index++) {
        members.get("d" + index + "-i1").crash("e" + index);
        run(SuspicionTable.REPORT_WAIT_MILLIS);
      }
      assertEquals(9, knowing(3));
      run(SuspicionTable.REPORT_WAIT_MILLIS);
      members
          .values()
          .forEach(
              member ->
                  assertEquals(
                      Suspicion.Verdict.QUARANTINED, member.table.suspicion(KEYS).verdict()));
    }

    @Test
    void isKnownEverywhereThoughMessagesAreLost() {
      start(6, 13);
      lossRate = 0.2;
      members.get("d0-i0").crash("e0");
      run(2_000);
      assertEquals(6 * 13, knowing(1));
    }

    @Test
    void isKnownInACutOffDomainOnceItIsBack() {
      start(3, 3);
      cut = (from, to) -> from.startsWith("d2") != to.startsWith("d2");
      members.get("d0-i0").crash("e0");
      run(1_000);
      assertEquals(6, knowing(1));
      cut = (from, to) -> false;
      members.get("d0-i0").crash("e1");
      run(1_000);
      assertEquals(9, knowing(2));
    }
  }

  @Nested
  class InstanceWithoutKnowledge {
    /** An instance that missed the news reports a first crash of a quarantined part. */
    @Test
    void doesNotLiftAQuarantine() {
      start(3, 3);
      cut = (from, to) -> from.equals("d2-i1") || to.equals("d2-i1");
      for (int index = 0; index < 3; index++) {
        members.get("d0-i0").crash("e" + index);
        run(SuspicionTable.REPORT_WAIT_MILLIS);
      }
      run(2_000);
      cut = (from, to) -> false;
      run(1_000);
      members.get("d2-i1").crash("e9");
      run(1_000);
      assertEquals(
          9,
          members.values().stream()
              .filter(
                  member -> member.table.suspicion(KEYS).verdict() == Suspicion.Verdict.QUARANTINED)
              .count());
    }
  }

  @Nested
  class Answer {
    @Test
    void arrivesInTimeInABurstOfCrashes() {
      start(3, 3);
      for (int index = 0; index < 3; index++) {
        members.get("d0-i0").crash("e" + index);
        run(100);
      }
      for (int index = 0; index < 60; index++) {
        Member member = members.get("d" + index % 3 + "-i2");
        List<String> keys = List.of("request-x" + index);
        member.table.recordCrash("e9", member.table.series(keys));
        member.exchange.changed();
      }
      members.get("d1-i1").answer();
      run(SuspicionTable.REPORT_WAIT_MILLIS);
      assertEquals(9, knowing(0));
    }

    @Test
    void endsTheSeriesEverywhere() {
      start(6, 13);
      for (int index = 0; index < 3; index++) {
        members.get("d0-i0").crash("e" + index);
      }
      run(SuspicionTable.REPORT_WAIT_MILLIS);
      members.get("d3-i5").answer();
      run(SuspicionTable.REPORT_WAIT_MILLIS);
      assertEquals(6 * 13, knowing(0));
    }
  }

  @Nested
  class Cost {
    @Test
    void isNothingWhileNothingCrashes() {
      start(3, 3);
      members.get("d0-i0").crash("e0");
      run(5_000);
      int before = news;
      assertTrue(before > 0);
      run(10_000);
      assertEquals(before, news);
    }

    @Test
    void ofACrashStaysWithinTheBytesOfControl() {
      start(13, 31);
      members.get("d0-i0").crash("e0");
      run(1_000);
      assertEquals(13 * 31, knowing(1));
      int most = CONTROL_BYTES_PER_SECOND / MESSAGE_BYTES * members.size();
      assertTrue(news <= most, () -> news + " messages, " + most + " allowed");
    }
  }
}
