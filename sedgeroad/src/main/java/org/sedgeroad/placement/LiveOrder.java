package org.sedgeroad.placement;

import java.util.Comparator;

/**
 * Order in which waiting live requests get places: by priority, then those that do not yield, the
 * earliest objective first, then those that are late and can wait, the earliest first.
 */
public final class LiveOrder {
  private LiveOrder() {}

  /** Returns the order at a monotonic time in nanoseconds. */
  public static Comparator<LiveDemand> at(long nowNanos) {
    return Comparator.comparingInt(LiveDemand::priority)
        .thenComparing(demand -> demand.canYield(nowNanos))
        .thenComparingLong(demand -> demand.objectiveNanos() - nowNanos);
  }
}
