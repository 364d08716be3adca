package org.sedgeroad.api;

import java.util.function.Supplier;
import org.sedgeroad.metric.RequestObserver;

/**
 * How the callers' interface is watched.
 *
 * @param requestObserver receives the live requests that have ended
 * @param metricsText renders the metrics in the Prometheus text format
 */
public record Observation(RequestObserver requestObserver, Supplier<String> metricsText) {}
