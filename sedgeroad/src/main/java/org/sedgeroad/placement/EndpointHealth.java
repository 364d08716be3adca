package org.sedgeroad.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Endpoints that failed lately and are avoided for a while. Used on the event loop.
 *
 * <p>Each failure in a row doubles the time up to a bound; a success ends it.
 */
public final class EndpointHealth {
  /** Time after a first failure, in milliseconds; a crashed endpoint needs seconds to return. */
  static final long FIRST_AVOIDANCE_MILLIS = 500;

  /** Longest time between two tries, in milliseconds. */
  static final long LONGEST_AVOIDANCE_MILLIS = 4_000;

  private record Failures(int count, long avoidUntilNanos) {}

  private final Map<String, Failures> failures = new HashMap<>();

  /** Notes that an endpoint failed at a monotonic time in nanoseconds. */
  public void failed(String endpoint, long nowNanos) {
    Failures before = failures.get(endpoint);
    if (before != null && nowNanos - before.avoidUntilNanos() < 0) {
      // The requests of one crash fail together and count once.
      return;
    }
    int count = before == null ? 1 : before.count() + 1;
    long millis =
        Math.min(LONGEST_AVOIDANCE_MILLIS, FIRST_AVOIDANCE_MILLIS << Math.min(count - 1, 10));
    failures.put(endpoint, new Failures(count, nowNanos + millis * 1_000_000L));
  }

  /** Notes that an endpoint answered. */
  public void succeeded(String endpoint) {
    failures.remove(endpoint);
  }

  /** Returns whether an endpoint should be avoided at a monotonic time in nanoseconds. */
  public boolean isSuspect(String endpoint, long nowNanos) {
    Failures found = failures.get(endpoint);
    return found != null && nowNanos - found.avoidUntilNanos() < 0;
  }
}
