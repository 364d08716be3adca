package org.sedgeroad.limit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.lease.LeaseTable;
import org.sedgeroad.peer.Grant;
import org.sedgeroad.peer.GrantRequest;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;

/** Simulated instance in virtual time; its monotonic clock has an origin of its own. */
final class SimulatedInstance {
  static final long LEASE_MILLIS = 6_000;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  final String name;
  final String domain;
  boolean cutOff;
  long pausedUntilMillis;
  long watchBrokenUntilMillis;

  private final SimulatedStore store;
  private final Random random;
  private final String holder;
  private final long origin;
  private final LeaseTable leases = LeaseTable.ofMillis(LEASE_MILLIS);
  private final ConfigurationReplica replica = new ConfigurationReplica();
  private final DomainRecords records = new DomainRecords();
  private final TreeMap<String, MemberLimits> limits = new TreeMap<>();
  private final TreeMap<String, ShareLedger> shares = new TreeMap<>();
  private final OwnerRoster roster;
  private final Grantor grantor;
  private final List<String> domains;
  private int appliedChanges;
  private final ShareCoordinator coordinator;
  private long nextStepMillis;
  private long nextApplyMillis;
  private long nextRenewalMillis;
  private long counter;
  private StoredObject leaseRead;
  private long readSentMillis;

  SimulatedInstance(
      String holder, String domain, List<String> domains, SimulatedStore store, Random random) {
    this.holder = holder;
    this.name = holder.substring(0, holder.indexOf('#'));
    this.domain = domain;
    this.domains = domains;
    this.store = store;
    this.random = random;
    this.origin = random.nextLong();
    this.roster = OwnerRoster.of(holder, leases, LEASE_MILLIS, replica::highestVersion);
    this.grantor =
        new Grantor(
            roster,
            member -> java.util.Optional.ofNullable(limits.get(member)),
            this::sharesOf,
            records::all,
            DomainAllowance.of(domain, domains));
    this.coordinator =
        new ShareCoordinator(
            StoreWriter.of(store, holder),
            grantor,
            shard -> shares.getOrDefault(shard, ShareLedger.none()),
            records::all,
            domain,
            domains);
  }

  MemberShares sharesOf(String member) {
    return shares.getOrDefault(ShareLedger.shardOf(member), ShareLedger.none()).of(member, domains);
  }

  boolean isRunning(long millis) {
    return millis >= pausedUntilMillis;
  }

  long appliedLimit(String member) {
    return limits.containsKey(member) ? limits.get(member).version() : 0;
  }

  /** Advances to the given time: applies configuration changes, moves shares, renews the lease. */
  void step(long millis) {
    if (cutOff || !isRunning(millis)) {
      return;
    }
    // A change arrives within 2 s; an instance receives all changes in order.
    if (millis >= nextApplyMillis && millis >= watchBrokenUntilMillis) {
      nextApplyMillis = millis + random.nextInt(1_800);
      while (appliedChanges < store.changes.size()) {
        apply(store.changes.get(appliedChanges++));
      }
    }
    if (millis >= nextStepMillis) {
      nextStepMillis = millis + ShareCoordinator.STEP_MILLIS;
      coordinator.step(nanos(millis));
    }
    if (leaseRead != null) {
      writeLease(millis);
    } else if (millis >= nextRenewalMillis) {
      readSentMillis = millis;
      leaseRead =
          store.get(Kinds.LEASES, domain) instanceof StoreResult.Done<StoredObject> done
              ? done.value()
              : new StoredObject(Kinds.LEASES, domain, 0, JsonNodeFactory.instance.objectNode());
      roster.adopt(leaseRead.spec(), nanos(readSentMillis), nanos(millis));
    }
  }

  /** Requests units from this instance as if it were the owner; returns the units granted. */
  long requestGrant(String member, long units, long millis) {
    if (!isRunning(millis)) {
      return 0;
    }
    Grant grant =
        grantor.grant(
            new GrantRequest("test", member, LimitKind.REQUESTS_PER_SECOND.toText(), units),
            nanos(millis));
    return grant.granted();
  }

  GrantScope grantScope(String member, long millis) {
    return roster.grantScope(member, nanos(millis));
  }

  private void apply(StoredObject object) {
    replica.apply(object);
    if (object.kind().equals(Kinds.LIMITS)) {
      limits.put(object.name(), MemberLimits.fromObject(object));
    } else {
      shares.put(object.name(), ShareLedger.fromSpec(object.version(), object.spec()));
    }
  }

  private void writeLease(long millis) {
    ObjectNode spec = leaseRead.spec().deepCopy();
    roster.prepare(spec, nanos(millis));
    spec.withObject("/holders").put(holder, ++counter);
    StoreResult<StoredObject> result =
        leaseRead.version() == 0
            ? store.create(Kinds.LEASES, domain, spec)
            : store.update(Kinds.LEASES, domain, leaseRead.version(), spec);
    long sent = readSentMillis;
    leaseRead = null;
    if (!(result instanceof StoreResult.Done<StoredObject> done)) {
      nextRenewalMillis = millis + 50;
      return;
    }
    nextRenewalMillis = millis + 1_000 + random.nextInt(700);
    if (random.nextInt(20) == 0) {
      // The write took effect but its answer is lost.
      return;
    }
    roster.renewed(nanos(sent), leases.isHeld(nanos(millis)), nanos(millis));
    leases.renewed(nanos(sent));
    roster.adopt(done.value().spec(), nanos(sent), nanos(millis));
    List<StoredObject> all =
        ((StoreResult.Done<ObjectList>) store.list(Kinds.LEASES, "")).value().objects();
    TreeMap<String, Long> counters = new TreeMap<>();
    all.forEach(
        object ->
            object
                .spec()
                .path("holders")
                .fields()
                .forEachRemaining(
                    field -> counters.put(field.getKey(), field.getValue().asLong())));
    leases.observeAll(counters, nanos(millis), nanos(millis));
    roster.domainRecordsRead(
        records.update(all, other -> leases.isExpired(other, nanos(millis))), nanos(millis));
  }

  private long nanos(long millis) {
    return origin + millis * NANOS_PER_MILLI;
  }
}
