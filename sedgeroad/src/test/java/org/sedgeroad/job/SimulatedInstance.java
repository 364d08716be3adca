package org.sedgeroad.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.Endpoint;
import org.sedgeroad.EndpointState;
import org.sedgeroad.VirtualClock;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.lease.LeaseTable;
import org.sedgeroad.route.CrashGuard;
import org.sedgeroad.route.CrashingRequestDetector;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.store.FakeStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WriteOutcome;

/** A runner with its own lease, replica and endpoint that runs step by step in virtual time. */
final class SimulatedInstance {
  static final String DOMAIN = "neuquen-a";
  static final long LEASE_MILLIS = 6_000;

  final JobRunner runner;
  final SimulatedEngine engine = new SimulatedEngine();
  final Deque<Runnable> pool = new ArrayDeque<>();
  final LeaseTable leases = LeaseTable.ofMillis(LEASE_MILLIS);
  final String holder;
  final CrashingRequestDetector detector;
  boolean alive = true;

  /** Whether the endpoint is found to refuse connections after a connection broke. */
  boolean endpointCrashed;

  /** Whether changes of models do not reach the replica. */
  boolean missesModelChanges;

  long pausedUntilNanos;

  private final Deque<StoredObject> changes = new ArrayDeque<>();
  private final ConfigurationReplica replica = new ConfigurationReplica();
  private final VirtualClock clock;
  private final StoreWriter writer;
  private long leaseCounter;

  SimulatedInstance(String name, int run, FakeStore store, VirtualClock clock) {
    this.clock = clock;
    this.holder = name + "#" + run;
    this.detector = new CrashingRequestDetector(() -> Instant.EPOCH.plusNanos(clock.nanos()));
    this.writer = StoreWriter.of(store, holder, () -> clock.advanceMillis(20));
    EndpointTable endpoints = EndpointTable.of("patagonia-norte", clock);
    endpoints.replace(
        List.of(
            new Endpoint(
                "engine-" + name,
                "tallador-lm",
                URI.create("http://127.0.0.1:1"),
                DOMAIN,
                "patagonia-norte",
                EndpointState.LIVE)));
    List.of(Kinds.MODELS, Kinds.JOBS).forEach(kind -> store.objects(kind).forEach(replica::apply));
    store.addWatcher(changes::add);
    this.runner =
        new JobRunner(
            new JobRunnerDependencies(
                name,
                DOMAIN,
                writer,
                replica,
                endpoints,
                engine,
                (view, now) -> 6,
                () -> List.of(name),
                leases,
                clock,
                pool::add,
                EventLog.of(name),
                60_000,
                (job, results) -> {},
                new CrashGuard(
                    detector,
                    placement -> endpointCrashed,
                    placement -> detector.endpointLost(placement, clock.nanos()))));
  }

  /** Renews the lease as an instance does: writes its own counter and reads those of the others. */
  void renewLease() {
    long sentAt = clock.nanos();
    StoreResult<StoredObject> found = writer.store().get(Kinds.LEASES, DOMAIN);
    ObjectNode spec =
        found instanceof StoreResult.Done<StoredObject> done
            ? done.value().spec().deepCopy()
            : JsonNodeFactory.instance.objectNode();
    spec.withObject("/holders").put(holder, ++leaseCounter);
    WriteOutcome outcome = null;
    if (found instanceof StoreResult.Done<StoredObject> done) {
      outcome = writer.update(Kinds.LEASES, DOMAIN, done.value().version(), spec);
    } else if (found instanceof StoreResult.Absent) {
      outcome = writer.create(Kinds.LEASES, DOMAIN, spec);
    }
    if (outcome instanceof WriteOutcome.Written written) {
      leases.renewed(sentAt, clock.nanos());
      Map<String, Long> counters = new HashMap<>();
      JsonNode holders = written.object().spec().path("holders");
      holders
          .fields()
          .forEachRemaining(each -> counters.put(each.getKey(), each.getValue().asLong()));
      leases.observeAll(counters, sentAt, clock.nanos());
    }
  }

  /** Applies changed objects to the replica, as a watch of the store does. */
  void deliverChanges() {
    if (missesModelChanges) {
      changes.removeIf(change -> change.kind().equals(Kinds.MODELS));
    }
    List<StoredObject> batch = new ArrayList<>(changes);
    changes.clear();
    batch.forEach(replica::apply);
  }

  /** Runs the oldest task in the pool's queue. */
  void runNextPoolTask() {
    Runnable task = pool.poll();
    if (task != null) {
      task.run();
    }
  }

  boolean isRunning() {
    return alive && clock.nanos() - pausedUntilNanos >= 0;
  }
}
