package org.sedgeroad.route;

import org.sedgeroad.Endpoint;

/**
 * Snapshot of one endpoint, used for routing and batch decisions.
 *
 * @param endpoint the endpoint
 * @param slots number of concurrent streams that the endpoint runs without queueing
 * @param ownLive number of live requests in flight from this instance
 * @param peerLive number of live requests in flight from other instances, as last reported
 * @param batch number of batch items in flight from this instance
 * @param cost total expected tokens of the requests in flight from this instance
 * @param longLive number of long live requests in flight from this instance
 * @param slowness observed time per token relative to the median of the service's endpoints, at
 *     least 1.0; 1.0 if unknown or if a probe is due
 * @param local whether the endpoint is in this instance's region
 */
public record EndpointView(
    Endpoint endpoint,
    int slots,
    int ownLive,
    int peerLive,
    int batch,
    long cost,
    int longLive,
    double slowness,
    boolean local) {
  /** Minimum slowness at which an endpoint gets work only if no other one has a free slot. */
  private static final double SLOW_THRESHOLD = 2.0;

  /** Returns the number of live requests and batch items known to be in flight. */
  public int inFlight() {
    return ownLive + peerLive + batch;
  }

  /** Returns the number of live requests known to be in flight from all instances. */
  public int live() {
    return ownLive + peerLive;
  }

  /** Returns whether the endpoint is slow, so that other endpoints are preferred. */
  public boolean isSlow() {
    return slowness >= SLOW_THRESHOLD;
  }
}
