package org.sedgeroad.batch;

import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.gateway.EndpointClient;
import org.sedgeroad.gateway.PromptPrefix;
import org.sedgeroad.gateway.RouteTableHolder;
import org.sedgeroad.http.MemoryBudget;
import org.sedgeroad.metric.GatewayMetrics;
import org.sedgeroad.placement.Dispatcher;
import org.sedgeroad.presence.FleetLoad;

/**
 * Dependencies of the classes that run batch jobs. No component may be null.
 *
 * @param instance name of this instance
 * @param store reads and writes jobs in the object store
 * @param storeWorkers executor for blocking store calls
 * @param routes holder of the current route table
 * @param dispatcher assigns endpoint slots
 * @param endpointClient sends items to endpoints
 * @param promptReader returns the parts of an item's prompt that its headers state
 * @param answerMemory memory for the answers in progress
 * @param fleetLoad load and liveness of the other instances
 * @param loop event loop that runs all non-blocking calls
 * @param clock monotonic clock
 * @param metrics counters and histograms
 * @param log event log
 * @param keepJobMillis time after which a finished job may be deleted, in milliseconds, counted
 *     from when this instance first received the job
 */
public record BatchDependencies(
    String instance,
    JobStore store,
    Executor storeWorkers,
    RouteTableHolder routes,
    Dispatcher dispatcher,
    EndpointClient endpointClient,
    Function<Map<String, String>, PromptPrefix> promptReader,
    MemoryBudget answerMemory,
    FleetLoad fleetLoad,
    EventLoop loop,
    MonotonicClock clock,
    GatewayMetrics metrics,
    EventLog log,
    long keepJobMillis) {}
