package org.sedgeroad.placement;

import org.sedgeroad.gateway.ServiceEndpoint;

/**
 * Endpoint that was chosen for a live request.
 *
 * @param endpoint the endpoint, not null
 * @param preemptBatch whether a batch item of this instance has to be preempted at the endpoint
 */
public record LiveChoice(ServiceEndpoint endpoint, boolean preemptBatch) {}
