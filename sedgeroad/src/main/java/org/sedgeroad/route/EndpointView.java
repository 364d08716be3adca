package org.sedgeroad.route;

import org.sedgeroad.Endpoint;

/**
 * Snapshot of one endpoint for a routing decision.
 *
 * @param endpoint the endpoint
 * @param slots concurrent streams that it runs without queueing
 * @param ownLive live requests in flight from this instance
 * @param peerLive live requests in flight from other instances, as last reported
 * @param batch batch items in flight from this instance
 * @param cost expected tokens in flight
 * @param longLive long live requests in flight from this instance
 * @param slowness observed time per token relative to the median of its peers, 1.0 if unknown
 * @param local whether it lies in this instance's region
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
  /** From this slowness on an endpoint gets work only if no other is free. */
  private static final double SLOW = 2.0;

  /** Returns all requests known to be in flight. */
  public int inFlight() {
    return ownLive + peerLive + batch;
  }

  /** Returns the live requests known to be in flight. */
  public int live() {
    return ownLive + peerLive;
  }

  /** Returns whether the endpoint is softly ejected because it is slow. */
  public boolean isSlow() {
    return slowness >= SLOW;
  }
}
