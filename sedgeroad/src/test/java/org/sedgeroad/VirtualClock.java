package org.sedgeroad;

/** A clock that a test moves. Not thread-safe. */
public final class VirtualClock implements MonotonicClock {
  private long nanos = 1_000_000_000L;

  @Override
  public long nanos() {
    return nanos;
  }

  /** Moves the clock ahead. */
  public void advanceMillis(long millis) {
    nanos += millis * 1_000_000L;
  }
}
