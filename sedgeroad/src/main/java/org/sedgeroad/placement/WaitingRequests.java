package org.sedgeroad.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** The live requests of this instance that wait for a slot. Used on the event loop. */
final class WaitingRequests {
  private final Set<LiveDemand> waiting = new LinkedHashSet<>();

  void add(LiveDemand demand) {
    waiting.add(demand);
  }

  /** Removes a request; returns whether it was waiting. */
  boolean remove(LiveDemand demand) {
    return waiting.remove(demand);
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  int size() {
    return waiting.size();
  }

  /** Returns the number of requests that wait for a service. */
  long count(String service) {
    return waiting.stream().filter(demand -> demand.service().equals(service)).count();
  }

  /** Returns the numbers of the requests that match a condition, by service. */
  Map<String, Integer> count(Predicate<LiveDemand> condition) {
    Map<String, Integer> counts = new HashMap<>();
    for (LiveDemand demand : waiting) {
      if (condition.test(demand)) {
        counts.merge(demand.service(), 1, Integer::sum);
      }
    }
    return counts;
  }

  /** Returns the numbers of waiting requests by workspace, without requests that have none. */
  Map<String, Integer> byWorkspace() {
    Map<String, Integer> counts = new HashMap<>();
    for (LiveDemand demand : waiting) {
      if (!demand.workspace().isEmpty()) {
        counts.merge(demand.workspace(), 1, Integer::sum);
      }
    }
    return counts;
  }

  /** Returns the requests in the order in which they get slots at a monotonic time. */
  List<LiveDemand> inOrder(long nowNanos) {
    List<LiveDemand> ordered = new ArrayList<>(waiting);
    ordered.sort(LiveOrder.at(nowNanos));
    return ordered;
  }
}
