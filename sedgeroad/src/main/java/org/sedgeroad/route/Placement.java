package org.sedgeroad.route;

/**
 * A request placed at an endpoint; handed back to {@link EndpointTable#end} exactly once.
 *
 * @param endpoint name of the endpoint
 * @param request the request
 * @param startedNanos monotonic start in nanoseconds
 */
public record Placement(String endpoint, RequestShape request, long startedNanos) {}
