package org.sedgeroad.placement;

import java.util.Comparator;

/**
 * Order in which waiting live requests get slots: by priority; within a priority, requests that are
 * not deferrable come before deferrable ones, in both groups the earliest objective first.
 */
public final class LiveOrder {
  private LiveOrder() {}

  /** Returns the order that applies at a monotonic time in nanoseconds. */
  public static Comparator<LiveDemand> at(long nowNanos) {
    return Comparator.comparingInt(LiveDemand::priority)
        .thenComparing(demand -> demand.isDeferrable(nowNanos))
        .thenComparingLong(demand -> demand.objectiveNanos() - nowNanos);
  }
}
