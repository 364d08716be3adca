package org.sedgeroad.route;

import java.net.URI;

/**
 * A request placed at an endpoint; handed back to {@link EndpointTable#end} exactly once.
 *
 * @param endpoint name of the endpoint
 * @param address base address of the endpoint
 * @param generation number of the endpoint's entry in the table; a replaced endpoint has another
 * @param request the request
 * @param isLong whether it counts as a long request
 * @param startedNanos monotonic start in nanoseconds
 */
public record Placement(
    String endpoint,
    URI address,
    long generation,
    RequestShape request,
    boolean isLong,
    long startedNanos) {

  /** Returns a copy that counts as long. */
  Placement toLong() {
    return new Placement(endpoint, address, generation, request, true, startedNanos);
  }
}
