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
  private final HedgePolicy hedgePolicy;
  private final MonotonicClock clock;
  private long lastEventNanos;
  private boolean firstEventReceived;

  AttemptTimes(LiveServiceDependencies dependencies) {
    this.endpoints = dependencies.endpoints();
    this.hedgePolicy = dependencies.hedging();
    this.clock = dependencies.clock();
  }

  /**
   * Records an event; returns the placement, or a copy that counts as a long request if the request
   * has become long.
   */
  Placement recordEvent(Placement placement, int received) {
    long now = clock.nanos();
    long previousNanos = firstEventReceived ? lastEventNanos : placement.startedNanos();
    lastEventNanos = now;
    if (firstEventReceived) {
      return endpoints.observeGap(placement, now - previousNanos, received);
    }
    firstEventReceived = true;
    endpoints.observeFirstEvent(placement, now - previousNanos);
    hedgePolicy.observeFirstEvent(placement.request(), now - previousNanos, now);
    return placement;
  }

  /**
   * Records that no event has been received yet. Otherwise an endpoint that hangs would not be
   * noticed.
   */
  void recordLateFirstEvent(Placement placement) {
    endpoints.observeFirstEvent(placement, clock.nanos() - placement.startedNanos());
  }
}
