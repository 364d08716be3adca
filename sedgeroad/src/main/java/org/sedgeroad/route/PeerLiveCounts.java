package org.sedgeroad.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Numbers of live requests that other instances have in flight, by endpoint and reporting instance.
 * Guarded by the lock of its {@link EndpointTable}.
 */
final class PeerLiveCounts {
  /**
   * A heartbeat does not replace a report on a single endpoint that is younger than this, because
   * the heartbeat may have been assembled before that report.
   */
  private static final long REPORT_PRECEDENCE_NANOS = 200_000_000L;

  /**
   * Time after which a report from another failure domain expires. Reports are repeated every
   * second; three may be lost.
   */
  private static final long FOREIGN_REPORT_EXPIRY_NANOS = 3_500_000_000L;

  private record Count(int live, long sequence, long reportedNanos, boolean singleReport) {}

  private final Map<String, Map<String, Count>> countsByEndpoint = new HashMap<>();

  /**
   * Stores the report of a sender on one endpoint; returns false and ignores the report if its
   * sequence number is not higher than that of the last accepted one.
   */
  boolean report(String sender, long sequence, String endpoint, int live, long now) {
    Map<String, Count> senders = countsByEndpoint.computeIfAbsent(endpoint, key -> new HashMap<>());
    Count previous = senders.get(sender);
    if (previous != null && previous.sequence() - sequence >= 0) {
      return false;
    }
    senders.put(sender, new Count(Math.max(0, live), sequence, now, true));
    return true;
  }

  /** Stores the counts of a sender at all endpoints. Endpoints without an entry count as 0. */
  void reportAll(String sender, Map<String, Integer> counts, long now) {
    counts.keySet().forEach(name -> countsByEndpoint.computeIfAbsent(name, key -> new HashMap<>()));
    countsByEndpoint.forEach(
        (endpoint, senders) -> {
          int live = Math.max(0, counts.getOrDefault(endpoint, 0));
          Count previous = senders.get(sender);
          if (previous == null) {
            if (live > 0) {
              senders.put(sender, new Count(live, Long.MIN_VALUE, now, false));
            }
          } else if (!previous.singleReport()
              || now - previous.reportedNanos() >= REPORT_PRECEDENCE_NANOS) {
            senders.put(sender, new Count(live, previous.sequence(), now, false));
          }
        });
  }

  /**
   * Removes the counts of senders that are not live, and of unknown endpoints. For senders in other
   * failure domains it is not known whether they are live. They repeat their reports, and their
   * counts are removed when no report has been received for a while.
   */
  void retain(
      Collection<String> liveSenders,
      Collection<String> foreignSenders,
      Collection<String> knownEndpoints,
      long now) {
    Iterator<Map.Entry<String, Map<String, Count>>> entries =
        countsByEndpoint.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, Map<String, Count>> entry = entries.next();
      entry
          .getValue()
          .entrySet()
          .removeIf(
              sender ->
                  !liveSenders.contains(sender.getKey())
                      && (!foreignSenders.contains(sender.getKey())
                          || now - sender.getValue().reportedNanos()
                              >= FOREIGN_REPORT_EXPIRY_NANOS));
      if (entry.getValue().isEmpty() || !knownEndpoints.contains(entry.getKey())) {
        entries.remove();
      }
    }
  }

  int sum(String endpoint) {
    Map<String, Count> senders = countsByEndpoint.get(endpoint);
    if (senders == null) {
      return 0;
    }
    int sum = 0;
    for (Count count : senders.values()) {
      sum += count.live();
    }
    return sum;
  }
}
