package org.sedgeroad.placement;

import java.util.Comparator;

/**
 * What decides the order of batch items.
 *
 * @param dueNanos monotonic time by which the item's result is due, in nanoseconds
 * @param nowNanos monotonic time of the decision, in nanoseconds
 * @param neededNanos time that the item still needs a place, in nanoseconds
 */
public record ItemUrgency(long dueNanos, long nowNanos, long neededNanos) {
  /**
   * Time below which an item is nearly done, in nanoseconds: less than a live request holds a
   * place, so that its place is free soon without a withdrawal.
   */
  private static final long NEARLY_DONE_NANOS = 600_000_000L;

  /**
   * The order in which items get places: those that can still end in time, nearly done ones first,
   * then the earliest due; then late ones. With too few places for all, earliest due first alone
   * would make every item late in turn.
   */
  public static final Comparator<ItemUrgency> ORDER =
      Comparator.comparing(ItemUrgency::isLate)
          .thenComparing(item -> !item.isNearlyDone())
          .thenComparing((one, other) -> Long.signum(one.dueNanos - other.dueNanos))
          .thenComparingLong(ItemUrgency::neededNanos);

  /** Returns whether the item can't end in time any more. */
  public boolean isLate() {
    return nowNanos + neededNanos - dueNanos > 0;
  }

  /** Returns whether the item ends soon if it gets, or keeps, a place. */
  public boolean isNearlyDone() {
    return neededNanos < NEARLY_DONE_NANOS;
  }
}
