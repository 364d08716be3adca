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
 * What the callers' interface works with.
 *
 * @param replica configuration
 * @param liveService live requests
 * @param jobService batch jobs
 * @param workers pool for blocking requests
 * @param uploadWorkers pool for uploads, which may take long
 * @param ready whether the instance takes new requests
 * @param activeRequests counts requests in progress
 * @param clock monotonic clock
 * @param log event log
 * @param requestTimeoutMillis longest run of a live request in milliseconds
 * @param maximumBodyBytes largest body of a live request in bytes
 * @param monitoring how the interface is watched
 */
public record ApiParts(
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
    Observation monitoring) {}
