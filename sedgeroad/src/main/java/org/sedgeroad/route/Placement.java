package org.sedgeroad.route;

import java.net.URI;

/**
 * Record of a request that is in flight at an endpoint. Must be passed to {@link EndpointTable#end}
 * exactly once.
 *
 * @param endpoint name of the endpoint
 * @param address base address of the endpoint
 * @param generation generation of the endpoint's entry in the table; changes when the endpoint is
 *     replaced
 * @param request the request
 * @param isLong whether the request counts as a long one
 * @param startedNanos monotonic start time in nanoseconds
 */
public record Placement(
    String endpoint,
    URI address,
    long generation,
    RequestShape request,
    boolean isLong,
    long startedNanos) {

  /** Returns a copy that counts as a long request. */
  Placement asLongRequest() {
    return new Placement(endpoint, address, generation, request, true, startedNanos);
  }
}
