package org.sedgeroad.testing.platform;

import org.sedgeroad.MonotonicClock;

/** A token bucket that holds one second's worth of calls, at least one call. Thread-safe. */
final class RateLimit {
  private final double perSecond;
  private final MonotonicClock clock;
  private double tokens;
  private long refilledNanos;

  private RateLimit(double perSecond, MonotonicClock clock) {
    this.perSecond = perSecond;
    this.clock = clock;
    this.tokens = Math.max(1, perSecond);
    this.refilledNanos = clock.nanos();
  }

  /** Returns a full bucket for a number of calls per second; 0 means no limit. */
  static RateLimit perSecond(double perSecond, MonotonicClock clock) {
    return new RateLimit(perSecond, clock);
  }

  /**
   * Takes a token for a call.
   *
   * @return 0 if the call may proceed, otherwise the seconds after which to retry, at least 1
   */
  synchronized long takeToken() {
    if (perSecond == 0) {
      return 0;
    }
    long now = clock.nanos();
    tokens = Math.min(Math.max(1, perSecond), tokens + (now - refilledNanos) * perSecond / 1e9);
    refilledNanos = now;
    if (tokens >= 1) {
      tokens--;
      return 0;
    }
    return Math.max(1, (long) Math.ceil((1 - tokens) / perSecond));
  }
}
