package org.sedgeroad.batch;

/** How long items take, from those that have completed here. Used on the event loop. */
final class ItemPace {
  /** Weight of the newest item in the means; the last ten items, one job, make up two thirds. */
  private static final double NEWEST_WEIGHT = 0.1;

  private double meanEvents;
  private double nanosPerEvent;

  /** Notes a run of a number of events that took a time in nanoseconds. */
  void addRun(int events, long tookNanos) {
    if (events > 0) {
      nanosPerEvent = mean(nanosPerEvent, (double) tookNanos / events);
    }
  }

  /** Notes an item that completed with a number of events. */
  void addItem(int events) {
    meanEvents = mean(meanEvents, events);
  }

  /** Returns the time that an item with a number of events still needs, in nanoseconds. */
  long neededNanos(int events) {
    return (long) (Math.max(0, meanEvents - events) * nanosPerEvent);
  }

  private static double mean(double before, double next) {
    return before == 0 ? next : before + NEWEST_WEIGHT * (next - before);
  }
}
