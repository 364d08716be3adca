package org.sedgeroad;

/** A monotonic clock in nanoseconds. Its readings can be compared only within one process. */
@FunctionalInterface
public interface MonotonicClock {

  /** The clock of this Java virtual machine, {@link System#nanoTime()}. */
  MonotonicClock SYSTEM = System::nanoTime;

  /** Returns the current reading in nanoseconds since an arbitrary origin; may be negative. */
  long nanos();

  /**
   * Returns a deadline relative to the current reading.
   *
   * @param millis time until the deadline, in milliseconds
   * @return the deadline as a reading of this clock, in nanoseconds
   */
  default long deadlineAfterMillis(long millis) {
    return nanos() + millis * 1_000_000L;
  }

  /**
   * Returns whether a deadline has been reached.
   *
   * @param deadlineNanos deadline as a reading of this clock, in nanoseconds
   */
  default boolean hasPassed(long deadlineNanos) {
    return nanos() - deadlineNanos >= 0;
  }
}
