package org.sedgeroad.placement;

import java.util.Comparator;

/**
 * What decides the order of batch items.
 *
 * @param dueNanos monotonic time by which the item's result is due, in nanoseconds
 * @param endNanos monotonic time at which the item would end if it ran from now on, in nanoseconds
 */
public record ItemUrgency(long dueNanos, long endNanos) {

  /**
   * The order in which items get places: those that can still end in time, the earliest due first,
   * then late ones. With too few places for all, earliest due first alone would make every item
   * late in turn.
   */
  public static final Comparator<ItemUrgency> ORDER =
      Comparator.comparing(ItemUrgency::isLate)
          .thenComparing((one, other) -> Long.signum(one.dueNanos - other.dueNanos))
          .thenComparing((one, other) -> Long.signum(one.endNanos - other.endNanos));

  /** Returns whether the item can't end in time any more. */
  public boolean isLate() {
    return endNanos - dueNanos > 0;
  }
}
