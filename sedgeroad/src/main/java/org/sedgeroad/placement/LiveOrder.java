package org.sedgeroad.placement;

import java.util.Comparator;

/**
 * Order in which waiting live requests get places: by priority, then those that can still meet
 * their objective, the earliest objective first, then late ones, the earliest first.
 */
public final class LiveOrder {
  private LiveOrder() {}

  /** Returns the order at a monotonic time in nanoseconds. */
  public static Comparator<LiveDemand> at(long nowNanos) {
    return Comparator.comparingInt(LiveDemand::priority)
        .thenComparing(demand -> demand.objectiveNanos() - nowNanos <= 0)
        .thenComparingLong(demand -> demand.objectiveNanos() - nowNanos);
  }
}
