package org.sedgeroad.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.announcement.Announcement;
import org.sedgeroad.announcement.AnnouncementTable;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.presence.FleetLoad;
import org.sedgeroad.presence.LoadTotals;

/**
 * Restrictions that follow from the announcements of endpoints and from what all instances have
 * sent to them. Used on the event loop.
 */
public final class AnnouncedRestrictions implements EndpointRestrictions {
  private final String instance;
  private final AnnouncementTable table;
  private final FleetLoad fleetLoad;
  private final MonotonicClock clock;
  private final SenderSelection selection;
  private final SendHistory history = new SendHistory();
  private int peersExpected;

  /**
   * Whether the instances that can be selected are known; they are not kept while none is needed.
   */
  private boolean selectionCurrent;

  /**
   * Creates restrictions.
   *
   * @param instance name of this instance
   * @param domain failure domain of this instance
   * @param regionOfDomain returns the region of a failure domain
   * @param domainsByInstance returns the failure domains of the other registered instances
   * @param table announcements of endpoints
   * @param fleetLoad load and liveness of the other instances
   * @param clock monotonic clock
   */
  public AnnouncedRestrictions(
      String instance,
      String domain,
      UnaryOperator<String> regionOfDomain,
      Supplier<Map<String, String>> domainsByInstance,
      AnnouncementTable table,
      FleetLoad fleetLoad,
      MonotonicClock clock) {
    this.instance = instance;
    this.table = table;
    this.fleetLoad = fleetLoad;
    this.clock = clock;
    this.selection = new SenderSelection(instance, domain, regionOfDomain, domainsByInstance);
  }

  @Override
  public boolean isLeaving(ServiceEndpoint endpoint) {
    return !table.isEmpty() && table.announcement(endpoint.incarnation()).leaving();
  }

  @Override
  public int allowance(ServiceEndpoint endpoint) {
    if (table.isEmpty()) {
      return Integer.MAX_VALUE;
    }
    Announcement announcement = table.announcement(endpoint.incarnation());
    if (!announcement.isLimited()) {
      return Integer.MAX_VALUE;
    }
    double rate = announcement.requestsPerSecond();
    List<String> senders = senders(endpoint, rate);
    if (!senders.contains(instance)) {
      return 0;
    }
    long now = clock.nanos();
    LoadTotals others = fleetLoad.others(now);
    int heard = others.reporters() == 0 ? 1 : heard(senders, now);
    String key = endpoint.incarnation();
    SharedBudget.Sent sent =
        new SharedBudget.Sent(
            history.count(key, RateBudget.windowMillis(rate), now),
            Math.max(0, others.sentToLimited().getOrDefault(key, 0)),
            history.countNewest(
                key, time -> !fleetLoad.hasExchangedSince(time, peersExpected, now)));
    return RateBudget.allowance(rate, senders.size(), heard, sent);
  }

  private List<String> senders(ServiceEndpoint endpoint, double rate) {
    if (!selectionCurrent) {
      updateSelection();
    }
    return selection.senders(endpoint, RateBudget.senders(rate, selection.candidates()));
  }

  private int heard(List<String> senders, long now) {
    int heard = 0;
    for (String name : senders) {
      heard += name.equals(instance) || fleetLoad.isCounted(name, now) ? 1 : 0;
    }
    return heard;
  }

  @Override
  public OptionalDouble rate(ServiceEndpoint endpoint) {
    if (table.isEmpty()) {
      return OptionalDouble.empty();
    }
    Announcement announcement = table.announcement(endpoint.incarnation());
    if (!announcement.isLimited()) {
      return OptionalDouble.empty();
    }
    double rate = announcement.requestsPerSecond();
    return OptionalDouble.of(senders(endpoint, rate).contains(instance) ? rate : 0);
  }

  @Override
  public void sent(ServiceEndpoint endpoint) {
    Announcement announcement = table.announcement(endpoint.incarnation());
    history.record(endpoint.incarnation(), window(announcement), clock.nanos());
  }

  @Override
  public Map<String, Integer> sentToLimited() {
    Map<String, Integer> sent = new HashMap<>();
    long now = clock.nanos();
    for (String endpoint : table.limitedEndpoints()) {
      int count = history.count(endpoint, window(table.announcement(endpoint)), now);
      if (count > 0) {
        sent.put(endpoint, count);
      }
    }
    return sent;
  }

  private static long window(Announcement announcement) {
    return announcement.isLimited()
        ? RateBudget.windowMillis(announcement.requestsPerSecond())
        : RateBudget.WINDOW_MILLIS;
  }

  @Override
  public void update(int expected) {
    peersExpected = expected;
    selectionCurrent = false;
    if (!table.isEmpty()) {
      updateSelection();
    }
  }

  private void updateSelection() {
    long now = clock.nanos();
    selection.update(name -> fleetLoad.isLive(name, now), fleetLoad::isLeaving, now);
    selectionCurrent = true;
  }

  @Override
  public void retain(Collection<ServiceEndpoint> endpoints) {
    Set<String> names = new HashSet<>();
    Set<String> incarnations = new HashSet<>();
    for (ServiceEndpoint endpoint : endpoints) {
      names.add(endpoint.name());
      incarnations.add(endpoint.incarnation());
    }
    selection.retain(names);
    history.retain(incarnations);
    table.retain(incarnations);
  }
}
