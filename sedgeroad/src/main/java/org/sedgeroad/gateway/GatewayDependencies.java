package org.sedgeroad.gateway;

import java.util.function.BooleanSupplier;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.access.AccessControl;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.http.MemoryBudget;
import org.sedgeroad.metric.GatewayMetrics;
import org.sedgeroad.placement.Dispatcher;
import org.sedgeroad.suspicion.SuspicionGuard;

/**
 * Dependencies of the classes that forward requests. No component may be null.
 *
 * @param routes holds the routes in force
 * @param ready returns whether routes and endpoints are known
 * @param access decides who may send requests
 * @param dispatcher assigns slots at endpoints
 * @param suspicions keeps requests that crash endpoints from being sent
 * @param endpointClient sends requests to endpoints
 * @param answerMemory memory for the answers in progress
 * @param loop event loop on which all calls run
 * @param clock source of monotonic time
 * @param metrics counters and histograms
 * @param log the log
 */
public record GatewayDependencies(
    RouteTableHolder routes,
    BooleanSupplier ready,
    AccessControl access,
    Dispatcher dispatcher,
    SuspicionGuard suspicions,
    EndpointClient endpointClient,
    MemoryBudget answerMemory,
    EventLoop loop,
    MonotonicClock clock,
    GatewayMetrics metrics,
    EventLog log) {}
