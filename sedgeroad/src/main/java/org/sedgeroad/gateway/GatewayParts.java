package org.sedgeroad.gateway;

import java.util.function.BooleanSupplier;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.metric.GatewayMetrics;
import org.sedgeroad.placement.Dispatcher;

/**
 * What the forwarding of requests uses. No component may be null.
 *
 * @param routes the configuration in force
 * @param ready returns whether routes and endpoints are known
 * @param dispatcher hands out places at endpoints
 * @param caller sends requests to endpoints
 * @param loop the event loop that all calls run on
 * @param clock source of time
 * @param metrics counters and histograms
 * @param log the log
 */
public record GatewayParts(
    RouteTableHolder routes,
    BooleanSupplier ready,
    Dispatcher dispatcher,
    EndpointCaller caller,
    EventLoop loop,
    MonotonicClock clock,
    GatewayMetrics metrics,
    EventLog log) {}
