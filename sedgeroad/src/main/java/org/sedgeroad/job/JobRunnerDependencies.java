package org.sedgeroad.job;

import java.util.concurrent.Executor;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.engine.EngineClient;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.lease.LeaseTable;
import org.sedgeroad.peer.MembershipView;
import org.sedgeroad.route.BatchPolicy;
import org.sedgeroad.route.CrashGuard;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.store.StoreWriter;

/**
 * Dependencies of a {@link JobRunner}.
 *
 * @param instance name of this instance
 * @param domain failure domain of this instance; only endpoints in it are used
 * @param writer store writer, whose name is recorded as the holder of claimed segments
 * @param replica replica of the configuration and the unfinished jobs
 * @param endpoints endpoints and their requests in flight
 * @param engine client that calls the endpoints
 * @param batchPolicy decides how many batch items may run at an endpoint
 * @param membership live instances of the failure domain, among which endpoints are divided
 * @param leases leases of this and other instances
 * @param clock monotonic clock
 * @param blockingCallExecutor thread pool for store calls and endpoint probes
 * @param log event log
 * @param itemTimeoutMillis time limit of one run of an item, in milliseconds
 * @param commitListener receives committed results
 * @param crashGuard detects items that crash endpoints
 */
public record JobRunnerDependencies(
    String instance,
    String domain,
    StoreWriter writer,
    ConfigurationReplica replica,
    EndpointTable endpoints,
    EngineClient engine,
    BatchPolicy batchPolicy,
    MembershipView membership,
    LeaseTable leases,
    MonotonicClock clock,
    Executor blockingCallExecutor,
    EventLog log,
    long itemTimeoutMillis,
    CommitListener commitListener,
    CrashGuard crashGuard) {}
