package org.sedgeroad.placement;

import org.sedgeroad.gateway.ServiceEndpoint;

/**
 * Where a live request runs.
 *
 * @param endpoint the endpoint
 * @param preemptBatch whether a batch item of this instance has to leave the endpoint
 */
public record LiveChoice(ServiceEndpoint endpoint, boolean preemptBatch) {}
