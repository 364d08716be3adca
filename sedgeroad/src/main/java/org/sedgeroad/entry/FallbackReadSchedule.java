package org.sedgeroad.entry;

import java.util.function.LongUnaryOperator;
import org.sedgeroad.MonotonicClock;

/**
 * Decides when an instance that does not watch the store reads the whole configuration from it.
 * Thread-safe.
 *
 * <p>The read is postponed whenever a watching instance of the same domain reports no newer
 * versions than this instance has. It is also postponed when the configuration becomes complete.
 * Otherwise an instance that has pulled the configuration from a peer would also do the first read,
 * which is meant for instances without peers, if no heartbeat of a watching instance arrived before
 * the time of that read.
 */
final class FallbackReadSchedule {
  /** Time for a starting instance to find peers before it reads the store, in milliseconds. */
  static final long STARTUP_MILLIS = 1_500;

  /**
   * Minimum time after which an instance with a complete configuration reads the store if no
   * watching instance has confirmed that this instance is up to date, in milliseconds; more than
   * ten times the time needed to replace a failed watching instance.
   */
  static final long CONFIRMATION_TIMEOUT_MILLIS = 30_000;

  private final MonotonicClock clock;
  private final LongUnaryOperator random;
  private boolean complete;
  private long readAtNanos;

  /**
   * Creates a schedule.
   *
   * @param clock monotonic clock
   * @param firstMillis time until the first read, in milliseconds
   * @param random returns a number from 0 (inclusive) to its argument (exclusive)
   */
  FallbackReadSchedule(MonotonicClock clock, long firstMillis, LongUnaryOperator random) {
    this.clock = clock;
    this.random = random;
    this.readAtNanos = clock.deadlineAfterMillis(firstMillis);
  }

  /**
   * Records that this instance has all objects of every kind; returns whether this is the first
   * such call.
   */
  synchronized boolean markComplete() {
    if (complete) {
      return false;
    }
    complete = true;
    scheduleNext();
    return true;
  }

  /** Records that a watching instance has no newer versions than this instance. */
  synchronized void recordConfirmation() {
    scheduleNext();
  }

  /** Returns whether the store must be read now; if so, schedules the next read. */
  synchronized boolean takeDueRead() {
    boolean due = clock.hasPassed(readAtNanos);
    if (due) {
      scheduleNext();
    }
    return due;
  }

  /** Schedules the next read, with random jitter so that instances don't read at the same time. */
  private void scheduleNext() {
    long millis = complete ? CONFIRMATION_TIMEOUT_MILLIS : STARTUP_MILLIS;
    readAtNanos = clock.deadlineAfterMillis(millis + random.applyAsLong(millis / 2));
  }
}
