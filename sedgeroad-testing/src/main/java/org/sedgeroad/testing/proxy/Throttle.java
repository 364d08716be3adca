package org.sedgeroad.testing.proxy;

import org.sedgeroad.MonotonicClock;

/**
 * Rate limit of a link in one direction. Several proxies may share one throttle, as connections
 * share a network link. Thread-safe.
 */
public final class Throttle {
  private final MonotonicClock clock;
  private long bytesPerSecond;
  private long availableFromNanos;
  private long totalBytes;

  private Throttle(long bytesPerSecond, MonotonicClock clock) {
    this.bytesPerSecond = bytesPerSecond;
    this.clock = clock;
    this.availableFromNanos = clock.nanos();
  }

  /** Returns a throttle for a rate in bytes per second; 0 means no limit. */
  public static Throttle of(long bytesPerSecond) {
    return new Throttle(bytesPerSecond, MonotonicClock.SYSTEM);
  }

  /** Sets the rate in bytes per second for the bytes that follow; 0 means no limit. */
  public synchronized void setBytesPerSecond(long newBytesPerSecond) {
    bytesPerSecond = newBytesPerSecond;
    availableFromNanos = clock.nanos();
  }

  /** Returns the number of bytes for which the link has been reserved so far. */
  public synchronized long passedBytes() {
    return totalBytes;
  }

  /**
   * Reserves the link for a number of bytes and returns the monotonic time in nanoseconds at which
   * they have been transferred.
   */
  synchronized long reserve(int bytes) {
    totalBytes += bytes;
    long now = clock.nanos();
    if (bytesPerSecond == 0) {
      return now;
    }
    long begin = availableFromNanos - now > 0 ? availableFromNanos : now;
    availableFromNanos = begin + bytes * 1_000_000_000L / bytesPerSecond;
    return availableFromNanos;
  }
}
