package org.sedgeroad.live;

import org.sedgeroad.MonotonicClock;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.route.HedgePolicy;
import org.sedgeroad.route.Placement;

/** Reports the times of an attempt's events to those who compare endpoints. */
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

  /** Notes an event; returns the placement, which may count as long from now on. */
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

  /** Notes that no event has come yet, which an endpoint that hangs would otherwise not show. */
  void overdue(Placement placement) {
    endpoints.observeFirstEvent(placement, clock.nanos() - placement.startedNanos());
  }
}
