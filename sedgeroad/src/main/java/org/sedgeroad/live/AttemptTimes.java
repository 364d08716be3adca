package org.sedgeroad.live;

import org.sedgeroad.MonotonicClock;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.route.HedgePolicy;
import org.sedgeroad.route.Placement;

/**
 * Measures the times between the events of an attempt and reports them to the endpoint table and
 * the hedging policy.
 */
final class AttemptTimes {
  private final EndpointTable endpoints;
  private final HedgePolicy hedging;
  private final MonotonicClock clock;
  private long lastNanos;
  private boolean started;

  AttemptTimes(LiveServiceParts parts) {
    this.endpoints = parts.endpoints();
    this.hedging = parts.hedging();
    this.clock = parts.clock();
  }

  /**
   * Records an event; returns the placement, or a copy that counts as a long request if the request
   * has become long.
   */
  Placement event(Placement placement, int received) {
    long now = clock.nanos();
    long since = started ? lastNanos : placement.startedNanos();
    lastNanos = now;
    if (started) {
      return endpoints.observeGap(placement, now - since, received);
    }
    started = true;
    endpoints.observeFirstEvent(placement, now - since);
    hedging.observeFirstEvent(placement.request(), now - since, now);
    return placement;
  }

  /**
   * Records that no event has been received yet. Otherwise an endpoint that hangs would not be
   * noticed.
   */
  void overdue(Placement placement) {
    endpoints.observeFirstEvent(placement, clock.nanos() - placement.startedNanos());
  }
}
