package org.sedgeroad.api;

import java.util.function.Supplier;
import org.sedgeroad.metric.RequestObserver;

/**
 * Monitoring of the callers' API. No component may be null.
 *
 * @param requestObserver receives each live request that has ended
 * @param metricsText renders the metrics in the Prometheus text format
 */
public record ApiMonitoring(RequestObserver requestObserver, Supplier<String> metricsText) {}
