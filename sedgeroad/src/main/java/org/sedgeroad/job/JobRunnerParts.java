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
 * What a {@link JobRunner} works with.
 *
 * @param instance name of this instance
 * @param domain failure domain of this instance; endpoints of others have their home there
 * @param writer writer whose name marks the held segments
 * @param replica configuration, with the unfinished jobs
 * @param endpoints endpoints and counts
 * @param engine client for the endpoints
 * @param batchPolicy how many items may run at an endpoint
 * @param membership live instances of the failure domain
 * @param leases leases
 * @param clock monotonic clock
 * @param blockingCallExecutor pool for store calls
 * @param log event log
 * @param itemTimeoutMillis longest run of one item in milliseconds
 * @param commitListener receives the results of items that have ended
 * @param crashGuard finds items that crash endpoints
 */
public record JobRunnerParts(
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
