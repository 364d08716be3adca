package org.sedgeroad.route;

import org.sedgeroad.Endpoint;
import org.sedgeroad.ServiceClass;

/** Mutable state of one endpoint, guarded by the lock of its {@link EndpointTable}. */
final class EndpointRecord {
  /** Distinguishes this endpoint from an earlier one with the same name. */
  final long generation;

  Endpoint endpoint;
  boolean draining;
  long drainingSinceNanos;
  boolean ejected;
  long ejectedUntilNanos;

  /** Number of live requests in flight from this instance. */
  int live;

  /** Number of batch requests in flight from this instance. */
  int batch;

  /** Number of long live requests in flight from this instance; {@link #live} includes them. */
  int longLive;

  /** Sum of the costs of the requests in flight from this instance. */
  long cost;

  final EndpointSpeed speed = new EndpointSpeed();

  EndpointRecord(long generation, Endpoint endpoint) {
    this.generation = generation;
    this.endpoint = endpoint;
  }

  /** Adds a request to the counts, or removes it if {@code sign} is -1 instead of 1. */
  void updateCounts(RequestShape request, int sign) {
    if (request.serviceClass() == ServiceClass.LIVE) {
      live += sign;
    } else {
      batch += sign;
    }
    cost += sign * request.cost();
  }
}
