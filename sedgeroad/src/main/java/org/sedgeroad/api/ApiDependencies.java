package org.sedgeroad.api;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.job.JobService;
import org.sedgeroad.live.LiveService;

/**
 * Dependencies and limits of {@link ApiHandler}. No component may be null.
 *
 * @param replica local copy of the configuration
 * @param liveService serves live requests
 * @param jobService stores files and manages batch jobs
 * @param workers executor for all requests except uploads; a request occupies one of its threads
 *     until it has ended
 * @param uploadWorkers executor for uploads, separate because an upload may take long
 * @param ready returns whether the instance accepts new requests
 * @param activeRequests number of requests being served on a worker thread, updated by the handler
 * @param clock monotonic clock
 * @param log event log
 * @param requestTimeoutMillis maximum duration of a live request in milliseconds
 * @param maximumBodyBytes maximum size of a request body in bytes; uploads are not limited by it
 * @param monitoring receives ended requests and renders the metrics
 */
public record ApiDependencies(
    ConfigurationReplica replica,
    LiveService liveService,
    JobService jobService,
    Executor workers,
    Executor uploadWorkers,
    BooleanSupplier ready,
    AtomicInteger activeRequests,
    MonotonicClock clock,
    EventLog log,
    long requestTimeoutMillis,
    long maximumBodyBytes,
    ApiMonitoring monitoring) {}
