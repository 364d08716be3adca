package org.sedgeroad;

/** Source of monotonic time in nanoseconds. Readings are comparable only within one process. */
@FunctionalInterface
public interface MonotonicClock {

  /** The clock of this Java virtual machine, {@link System#nanoTime()}. */
  MonotonicClock SYSTEM = System::nanoTime;

  /** Returns the current reading in nanoseconds from an arbitrary origin. */
  long nanos();

  /** Returns the reading that lies the given number of milliseconds ahead. */
  default long deadlineAfterMillis(long millis) {
    return nanos() + millis * 1_000_000L;
  }

  /** Returns whether the given deadline, a reading of this clock, has passed. */
  default boolean hasPassed(long deadlineNanos) {
    return nanos() - deadlineNanos >= 0;
  }
}
