package org.sedgeroad.placement;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * Order in which waiting live requests of several workspaces get slots: by priority; within a
 * priority, the workspace that uses the fewest slots for its weight comes first; within a
 * workspace, {@link LiveOrder} applies. A slot that is assigned counts at once.
 *
 * <p>Answers a load at which one workspace sends more than the free slots can serve: ordered by
 * objective alone, its requests take the slots in proportion to their number. Without workspaces
 * the order is {@link LiveOrder}.
 */
final class FairOrder {
  private final ToDoubleFunction<String> relativeUse;
  private final TreeMap<Integer, Map<String, Deque<LiveDemand>>> groupsByPriority = new TreeMap<>();

  /**
   * Creates an order.
   *
   * @param ordered waiting requests in {@link LiveOrder}
   * @param group returns the group of a request: its workspace, or the same for all
   * @param relativeUse returns the slots of a group for each unit of its weight; read again for
   *     each request
   */
  FairOrder(
      List<LiveDemand> ordered,
      Function<LiveDemand, String> group,
      ToDoubleFunction<String> relativeUse) {
    this.relativeUse = relativeUse;
    for (LiveDemand demand : ordered) {
      groupsByPriority
          .computeIfAbsent(demand.priority(), priority -> new HashMap<>())
          .computeIfAbsent(group.apply(demand), name -> new ArrayDeque<>())
          .add(demand);
    }
  }

  /** Removes and returns the next request, empty if there is none. */
  Optional<LiveDemand> next() {
    while (!groupsByPriority.isEmpty()) {
      Map<String, Deque<LiveDemand>> groups = groupsByPriority.firstEntry().getValue();
      groups.values().removeIf(Deque::isEmpty);
      if (!groups.isEmpty()) {
        return groups.keySet().stream()
            .min(Comparator.comparingDouble(relativeUse).thenComparing(Comparator.naturalOrder()))
            .map(name -> groups.get(name).remove());
      }
      groupsByPriority.pollFirstEntry();
    }
    return Optional.empty();
  }
}
