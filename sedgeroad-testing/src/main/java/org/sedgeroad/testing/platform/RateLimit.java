package org.sedgeroad.testing.platform;

import org.sedgeroad.MonotonicClock;

/** A token bucket that holds at most one second's worth of calls. Thread-safe. */
final class RateLimit {
  private final double perSecond;
  private final MonotonicClock clock;
  private double tokens;
  private long filledNanos;

  private RateLimit(double perSecond, MonotonicClock clock) {
    this.perSecond = perSecond;
    this.clock = clock;
    this.tokens = Math.max(1, perSecond);
    this.filledNanos = clock.nanos();
  }

  /** Returns a full bucket; a rate of 0 means no limit. */
  static RateLimit perSecond(double perSecond, MonotonicClock clock) {
    return new RateLimit(perSecond, clock);
  }

  /** Returns 0 if the call may proceed, else the seconds after which to retry, at least 1. */
  synchronized long take() {
    if (perSecond == 0) {
      return 0;
    }
    long now = clock.nanos();
    tokens = Math.min(Math.max(1, perSecond), tokens + (now - filledNanos) * perSecond / 1e9);
    filledNanos = now;
    if (tokens >= 1) {
      tokens--;
      return 0;
    }
    return Math.max(1, (long) Math.ceil((1 - tokens) / perSecond));
  }
}
