package org.sedgeroad.gateway;

import java.util.OptionalLong;
import org.sedgeroad.MonotonicClock;

/**
 * Tells whether an endpoint has been silent for too long. Used on the event loop.
 *
 * <p>After a pause of the process, the event loop runs the timers that are due before it reads what
 * has arrived meanwhile. A silence is therefore confirmed by a second check, before which the loop
 * has read.
 */
public final class StallCheck {
  /**
   * Time between the two checks, in milliseconds; a fiftieth of the time after which streams move.
   */
  private static final long CONFIRMATION_MILLIS = 20;

  private final MonotonicClock clock;
  private boolean suspected;

  /** Creates a check that has found no silence yet. */
  public StallCheck(MonotonicClock clock) {
    this.clock = clock;
  }

  /**
   * Returns the monotonic time of the next check in nanoseconds, empty if the silence is confirmed.
   *
   * @param deadlineNanos monotonic time by which the next progress is due, in nanoseconds
   */
  public OptionalLong nextCheckNanos(long deadlineNanos) {
    if (!clock.hasPassed(deadlineNanos)) {
      suspected = false;
      return OptionalLong.of(deadlineNanos);
    }
    if (!suspected) {
      suspected = true;
      return OptionalLong.of(clock.deadlineAfterMillis(CONFIRMATION_MILLIS));
    }
    return OptionalLong.empty();
  }
}
