package org.sedgeroad.batch;

/**
 * Estimates the remaining run time of items from the items that completed at this instance. Must be
 * used on the event loop.
 */
final class ItemDurationEstimator {
  /**
   * Weight of the newest value in the moving averages. The last ten items, the size of one job,
   * make up two thirds of an average.
   */
  private static final double NEWEST_WEIGHT = 0.1;

  private double meanEventsPerItem;
  private double meanNanosPerEvent;

  /** Records the number of events and the duration in nanoseconds of a run. */
  void addRun(int events, long durationNanos) {
    if (events > 0) {
      meanNanosPerEvent = movingAverage(meanNanosPerEvent, (double) durationNanos / events);
    }
  }

  /** Records the number of events of a completed item. */
  void addItem(int events) {
    meanEventsPerItem = movingAverage(meanEventsPerItem, events);
  }

  /**
   * Returns the estimated remaining run time in nanoseconds, at least 0, of an item that has
   * received a number of events; 0 if no item has completed yet.
   */
  long remainingNanos(int events) {
    return (long) (Math.max(0, meanEventsPerItem - events) * meanNanosPerEvent);
  }

  private static double movingAverage(double before, double next) {
    return before == 0 ? next : before + NEWEST_WEIGHT * (next - before);
  }
}
