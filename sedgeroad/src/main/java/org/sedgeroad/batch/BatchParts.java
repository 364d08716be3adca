package org.sedgeroad.batch;

import java.util.concurrent.Executor;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.gateway.EndpointCaller;
import org.sedgeroad.gateway.RouteTableHolder;
import org.sedgeroad.metric.GatewayMetrics;
import org.sedgeroad.placement.Dispatcher;
import org.sedgeroad.presence.PeerBook;

/**
 * What the running of jobs uses. No component may be null.
 *
 * @param instance name of this instance
 * @param store jobs in the store
 * @param storeWorkers runs the blocking calls to the store
 * @param routes the configuration in force
 * @param dispatcher hands out places at endpoints
 * @param caller sends items to endpoints
 * @param peers reports of the other instances
 * @param loop the event loop that all other calls run on
 * @param clock source of time
 * @param metrics counters and histograms
 * @param log the log
 * @param keepJobMillis time for which a job stays readable, in milliseconds
 */
public record BatchParts(
    String instance,
    JobStore store,
    Executor storeWorkers,
    RouteTableHolder routes,
    Dispatcher dispatcher,
    EndpointCaller caller,
    PeerBook peers,
    EventLoop loop,
    MonotonicClock clock,
    GatewayMetrics metrics,
    EventLog log,
    long keepJobMillis) {}
