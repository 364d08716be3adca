package org.sedgeroad.entry;

import org.sedgeroad.MonotonicClock;

/**
 * Detects that a watch has missed a change that another instance has received, for example because
 * its connection no longer delivers anything. Used on the event loop.
 */
final class LagDetector {
  /**
   * Time for which another instance may be ahead, in milliseconds; longer than the store takes to
   * answer all watches, and a fifth of the time within which a change must take effect.
   */
  private static final long LAG_MILLIS = 500;

  /** Shortest time between two restarts of the watch, in milliseconds. */
  private static final long RESTART_MILLIS = 1_000;

  private final MonotonicClock clock;
  private final Runnable restart;
  private boolean lagging;
  private long deadlineNanos;

  /**
   * Creates a detector.
   *
   * @param clock monotonic clock
   * @param restart lists again and restarts the watch
   */
  LagDetector(MonotonicClock clock, Runnable restart) {
    this.clock = clock;
    this.restart = restart;
  }

  /**
   * Restarts the watch if others have been ahead for longer than a watch normally takes.
   *
   * @param behind whether another instance has received a change that this one has not
   */
  void check(boolean behind) {
    if (!behind) {
      lagging = false;
    } else if (!lagging) {
      lagging = true;
      deadlineNanos = clock.deadlineAfterMillis(LAG_MILLIS);
    } else if (clock.hasPassed(deadlineNanos)) {
      deadlineNanos = clock.deadlineAfterMillis(RESTART_MILLIS);
      restart.run();
    }
  }
}
