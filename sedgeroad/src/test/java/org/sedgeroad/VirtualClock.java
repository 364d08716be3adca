package org.sedgeroad;

/** A clock for tests whose time advances only on request. Not thread-safe. */
public final class VirtualClock implements MonotonicClock {
  private long nanos = 1_000_000_000L;

  @Override
  public long nanos() {
    return nanos;
  }

  /** Advances the clock by a number of milliseconds. */
  public void advanceMillis(long millis) {
    nanos += millis * 1_000_000L;
  }
}
