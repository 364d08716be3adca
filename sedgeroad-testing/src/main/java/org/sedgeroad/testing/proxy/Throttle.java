package org.sedgeroad.testing.proxy;

import org.sedgeroad.MonotonicClock;

/**
 * Rate of a link in one direction. Several proxies may share one, like the traffic of one network
 * link. Thread-safe.
 */
public final class Throttle {
  private final MonotonicClock clock;
  private long bytesPerSecond;
  private long availableNanos;
  private long totalBytes;

  private Throttle(long bytesPerSecond, MonotonicClock clock) {
    this.bytesPerSecond = bytesPerSecond;
    this.clock = clock;
    this.availableNanos = clock.nanos();
  }

  /** Returns a throttle; a rate of 0 means no limit. */
  public static Throttle of(long bytesPerSecond) {
    return new Throttle(bytesPerSecond, MonotonicClock.SYSTEM);
  }

  /** Changes the rate for the bytes that follow; 0 means no limit. */
  public synchronized void setBytesPerSecond(long newBytesPerSecond) {
    bytesPerSecond = newBytesPerSecond;
    availableNanos = clock.nanos();
  }

  /** Returns the bytes that have passed so far. */
  public synchronized long passedBytes() {
    return totalBytes;
  }

  /** Takes the link for some bytes and returns the monotonic time at which they have passed. */
  synchronized long reserve(int bytes) {
    totalBytes += bytes;
    long now = clock.nanos();
    if (bytesPerSecond == 0) {
      return now;
    }
    long begin = availableNanos - now > 0 ? availableNanos : now;
    availableNanos = begin + bytes * 1_000_000_000L / bytesPerSecond;
    return availableNanos;
  }
}
