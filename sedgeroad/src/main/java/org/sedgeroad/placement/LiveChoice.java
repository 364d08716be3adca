package org.sedgeroad.placement;

import org.sedgeroad.gateway.ServiceEndpoint;

/**
 * Where a live request runs.
 *
 * @param endpoint the endpoint
 * @param preemptBatch whether a batch item of this instance has to leave the endpoint
 * @param queued whether the request waits there until a place is free
 */
public record LiveChoice(ServiceEndpoint endpoint, boolean preemptBatch, boolean queued) {}
