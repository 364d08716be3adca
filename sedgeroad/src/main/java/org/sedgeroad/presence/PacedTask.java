package org.sedgeroad.presence;

import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;

/**
 * Runs a task soon after it is requested, but not more often than once in an interval. Requests
 * that come before the task runs share one run. Used on the event loop.
 */
final class PacedTask {
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final long delayMillis;
  private final Runnable task;
  private long lastRunNanos;
  private boolean hasRun;
  private boolean scheduled;

  /**
   * Creates a paced task.
   *
   * @param loop event loop that runs the task
   * @param clock monotonic clock of the loop
   * @param delayMillis shortest time between a request and the run, in milliseconds
   * @param task the task
   */
  PacedTask(EventLoop loop, MonotonicClock clock, long delayMillis, Runnable task) {
    this.loop = loop;
    this.clock = clock;
    this.delayMillis = delayMillis;
    this.task = task;
  }

  /** Requests a run, at least {@code intervalMillis} after the last one. */
  void request(long intervalMillis) {
    if (scheduled) {
      return;
    }
    scheduled = true;
    long deadline = clock.deadlineAfterMillis(delayMillis);
    long paced = lastRunNanos + intervalMillis * 1_000_000L;
    loop.scheduleAt(hasRun && paced - deadline > 0 ? paced : deadline, this::run);
  }

  /** Returns whether the last run is at least a time in milliseconds ago. */
  boolean isDue(long intervalMillis) {
    return !hasRun || clock.nanos() - lastRunNanos >= intervalMillis * 1_000_000L;
  }

  private void run() {
    scheduled = false;
    hasRun = true;
    lastRunNanos = clock.nanos();
    task.run();
  }
}
