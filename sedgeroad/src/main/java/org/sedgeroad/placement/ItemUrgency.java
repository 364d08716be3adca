package org.sedgeroad.placement;

import java.util.Comparator;

/**
 * Urgency of a batch item, which determines the order in which items get slots.
 *
 * @param dueNanos monotonic time by which the item's result is due, in nanoseconds
 * @param nowNanos monotonic time of the decision, in nanoseconds
 * @param neededNanos time for which the item still needs a slot, in nanoseconds
 */
public record ItemUrgency(long dueNanos, long nowNanos, long neededNanos) {
  /**
   * Remaining time below which an item is nearly done, in nanoseconds. It is less than the time for
   * which a live request holds a slot: the slot of such an item becomes free soon, also without
   * preemption.
   */
  private static final long NEARLY_DONE_NANOS = 600_000_000L;

  /**
   * Order in which items get slots, the most urgent first: items that can still be on time come
   * before late ones; within both groups, nearly done items come first, then the earliest due, then
   * those that need the least time. With too few slots for all items, ordering by due time alone
   * would make one item after another late.
   */
  public static final Comparator<ItemUrgency> ORDER =
      Comparator.comparing(ItemUrgency::isLate)
          .thenComparing(item -> !item.isNearlyDone())
          .thenComparing((one, other) -> Long.signum(one.dueNanos - other.dueNanos))
          .thenComparingLong(ItemUrgency::neededNanos);

  /** Returns whether the item can no longer end by its due time. */
  public boolean isLate() {
    return slackNanos() < 0;
  }

  /** Returns whether the item ends soon if it gets, or keeps, a slot. */
  public boolean isNearlyDone() {
    return neededNanos < NEARLY_DONE_NANOS;
  }

  /** Returns for how long the item can wait and still end by its due time, in nanoseconds. */
  public long slackNanos() {
    return dueNanos - nowNanos - neededNanos;
  }
}
