package org.sedgeroad.entry;

import java.util.function.LongUnaryOperator;
import org.sedgeroad.MonotonicClock;

/**
 * Decides when an instance that watches nothing reads the whole configuration from the store
 * itself. Thread-safe.
 *
 * <p>A watcher of the domain that shows nothing new puts the read off. So does completion, because
 * the first heartbeat of a watcher may come later than a read that was meant for an instance that
 * finds no peers.
 */
final class FallbackRead {
  /** Time for a starting instance to find peers before it reads the store, in milliseconds. */
  static final long START_MILLIS = 1_500;

  /**
   * Time without news of a watcher after which a complete instance reads, in milliseconds; more
   * than ten times as long as watchers need to be replaced.
   */
  static final long COMPLETE_MILLIS = 30_000;

  private final MonotonicClock clock;
  private final LongUnaryOperator random;
  private boolean complete;
  private long readAtNanos;

  /**
   * Creates an object whose first read is due after a time.
   *
   * @param firstMillis time until the first read, in milliseconds
   * @param random returns a number from 0 (inclusive) to its argument (exclusive)
   */
  FallbackRead(MonotonicClock clock, long firstMillis, LongUnaryOperator random) {
    this.clock = clock;
    this.random = random;
    this.readAtNanos = clock.deadlineAfterMillis(firstMillis);
  }

  /** Notes that each kind is held completely; returns whether that is news. */
  synchronized boolean completed() {
    if (complete) {
      return false;
    }
    complete = true;
    postpone();
    return true;
  }

  /** Notes that a watcher has shown that this instance holds all that the watcher holds. */
  synchronized void confirmed() {
    postpone();
  }

  /** Returns whether the store must be read now; the next read is then put off. */
  synchronized boolean takeDue() {
    boolean due = clock.hasPassed(readAtNanos);
    if (due) {
      postpone();
    }
    return due;
  }

  /** Adds a random part, so that instances don't read in step. */
  private void postpone() {
    long millis = complete ? COMPLETE_MILLIS : START_MILLIS;
    readAtNanos = clock.deadlineAfterMillis(millis + random.applyAsLong(millis / 2));
  }
}
