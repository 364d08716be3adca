package org.sedgeroad.limit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.ToLongFunction;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.lease.LeaseTable;
import org.sedgeroad.peer.RendezvousHashing;

/**
 * Selects the owners of token buckets among the instances in the lease object of the failure
 * domain.
 *
 * <p>The owner of a member's token bucket gives the other instances sub-grants: units of the
 * member's limits that they may use for {@link #GRANT_MILLIS} milliseconds. It grants from two
 * parts of the limits. The isolated share may be used without a valid lease. The share is the part
 * of the rest that the share ledger assigns to the failure domain, and needs a valid lease.
 *
 * <p>Membership by gossip may differ between instances for a moment and would give a bucket two
 * owners. The selection therefore uses the roster in the lease object, which changes by conditional
 * update only. The roster contains holder names, so that a restarted process of an instance differs
 * from the earlier one. An instance acts as an owner when (1) it ranks first in the roster that it
 * last read, (2) every other instance in that roster has adopted a roster that contains this
 * instance, and (3) the sub-grants of an earlier owner have expired. Other instances remove an
 * instance only after its lease has certainly expired; an earlier process of the same instance is
 * removed at once, and an instance that stops removes itself after it has stopped granting. The
 * relative rank of two instances never changes, so no two instances meet these conditions for the
 * bucket of the same member.
 *
 * <p>An instance that is removed because its lease has expired stays in the lease object as absent,
 * because it may still run without a connection and use the isolated share. While it may consider
 * itself the owner of a member, no other instance grants from the isolated share of this member.
 * Thread-safe.
 */
public final class OwnerRoster implements OwnerView {
  /** Time for which a sub-grant is valid, in milliseconds. */
  public static final long GRANT_MILLIS = 1_000;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  // Allows for clock rates of two instances that differ by a tenth.
  private static final long GRANT_EXPIRY_NANOS =
      (GRANT_MILLIS + GRANT_MILLIS / 10) * NANOS_PER_MILLI;
  // Time without a lease after which an instance grants nothing: twice the hour for which a region
  // may be cut off, as a margin.
  private static final long ISOLATION_NANOS = 2L * 3600 * 1000 * NANOS_PER_MILLI;

  // An instance counts as behind if its limits stay older than those of another one for a third of
  // a lease. A change of the configuration reaches each instance within 2 s, a third of the usual
  // lease.
  private static final int PROPAGATIONS_PER_LEASE = 3;

  private final ReentrantLock lock = new ReentrantLock();
  private final String self;
  private final LeaseTable leases;
  private final long leaseNanos;
  private final ToLongFunction<String> appliedVersion;
  // Time at which the sub-grants of each holder that left the roster expire.
  private final Map<String, Long> removedGrantsExpireAt = new HashMap<>();
  private final Map<String, Long> absentSince = new HashMap<>();
  private Map<String, RosterEntry> roster = Map.of();
  private Map<String, Long> absent = Map.of();
  // Time at which the sub-grants of each holder that is no longer marked as absent expire.
  private final Map<String, Long> absentGrantsExpireAt = new HashMap<>();
  // Local count of changes of the roster; unlike the epoch, it is not stored.
  private long generation;
  // Whether condition (2) of the class comment is met, and since when.
  private long establishedAtNanos;
  private boolean established;
  private boolean stopped;
  private long renewedAtNanos;
  // Time from which the share may be used again after a lapse of the lease.
  private long resumeAtNanos;
  private long domainRecordsReadAtNanos;
  private boolean hasReadDomainRecords;
  // Highest versions that all instances of the roster had applied at one time. With older ones this
  // instance grants nothing.
  private long limitsFloor;
  private long sharesFloor;
  // Version of the limits that must be applied before the share is used again after a lapse.
  private long resumeFloor;
  // Version of the limits in another record that was newer than the applied one, and since when.
  private long behindVersion;
  private long behindSinceNanos;
  // Updated only when the lease object is read or prepared and when the domain records are read,
  // not for each grant, since computing the applied version may scan the replica.
  private long limitsApplied;
  private long sharesApplied;

  private OwnerRoster(
      String self, LeaseTable leases, long leaseMillis, ToLongFunction<String> appliedVersion) {
    this.self = self;
    this.leases = leases;
    this.leaseNanos = leaseMillis * NANOS_PER_MILLI;
    this.appliedVersion = appliedVersion;
  }

  /**
   * Returns a roster without any instance.
   *
   * @param self holder name of this instance: the instance name, {@code #} and a suffix that is
   *     unique to the process
   * @param leases lease table of this instance
   * @param leaseMillis duration of a lease in milliseconds
   * @param appliedVersion returns, for a configuration kind, the version up to which this instance
   *     has applied every change
   */
  public static OwnerRoster of(
      String self, LeaseTable leases, long leaseMillis, ToLongFunction<String> appliedVersion) {
    return new OwnerRoster(self, leases, leaseMillis, appliedVersion);
  }

  /**
   * Adopts the roster of a lease object that was read from the store or written to it. Must be
   * called with each lease object before {@link #prepare} changes it for a renewal.
   *
   * @param spec content of the lease object
   * @param sentAtNanos monotonic time before the read or write was sent
   * @param nowNanos monotonic time after its answer arrived
   */
  public void adopt(JsonNode spec, long sentAtNanos, long nowNanos) {
    Map<String, Long> counters = new HashMap<>();
    spec.path(LeaseFields.HOLDERS)
        .fields()
        .forEachRemaining(field -> counters.put(field.getKey(), field.getValue().asLong()));
    leases.observe(counters, sentAtNanos, nowNanos);
    lock.lock();
    try {
      Map<String, RosterEntry> read = new TreeMap<>();
      spec.path(LeaseFields.ROSTER)
          .fields()
          .forEachRemaining(
              field -> read.put(field.getKey(), RosterEntry.fromSpec(field.getValue())));
      Map<String, Long> readAbsent = new TreeMap<>();
      spec.path(LeaseFields.ABSENT)
          .fields()
          .forEachRemaining(
              field ->
                  readAbsent.put(
                      field.getKey(), field.getValue().path(LeaseFields.ADOPTED).asLong()));
      recordRemoved(roster.keySet(), read.keySet(), removedGrantsExpireAt, nowNanos);
      recordRemoved(absent.keySet(), readAbsent.keySet(), absentGrantsExpireAt, nowNanos);
      if (!read.keySet().equals(roster.keySet())) {
        generation++;
      }
      readAbsent.keySet().forEach(name -> absentSince.putIfAbsent(name, nowNanos));
      absentSince.keySet().retainAll(readAbsent.keySet());
      roster = read;
      absent = readAbsent;
      limitsFloor = Math.max(limitsFloor, spec.path(LeaseFields.LIMITS_FLOOR).asLong());
      sharesFloor = Math.max(sharesFloor, spec.path(LeaseFields.SHARES_FLOOR).asLong());
      updateAppliedVersions();
      updateEstablished(nowNanos);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Updates the content of the lease object for a renewal: adds this instance to the roster,
   * records the epoch and the versions that it has adopted and applied, removes earlier processes
   * of this instance and marks instances whose lease has expired as absent. The content must then
   * be written by conditional update on the version of the lease object that was passed to {@link
   * #adopt}.
   */
  public void prepare(ObjectNode spec, long nowNanos) {
    lock.lock();
    try {
      updateAppliedVersions();
      ObjectNode holders = spec.withObject("/" + LeaseFields.HOLDERS);
      ObjectNode entries = spec.withObject("/" + LeaseFields.ROSTER);
      ObjectNode absentEntries = spec.withObject("/" + LeaseFields.ABSENT);
      long readEpoch = spec.path(LeaseFields.EPOCH).asLong();
      long epoch = readEpoch;
      for (String name : names(entries)) {
        if (!name.equals(self) && isEarlierProcess(name)) {
          entries.remove(name);
          holders.remove(name);
          epoch++;
        } else if (!name.equals(self) && leases.isExpired(name, nowNanos)) {
          absentEntries.set(name, entries.remove(name));
          holders.remove(name);
          epoch++;
        }
      }
      for (String name : names(holders)) {
        // A holder outside the roster grants nothing; it is kept only until its lease has expired.
        if (!name.equals(self) && !entries.has(name) && leases.isExpired(name, nowNanos)) {
          holders.remove(name);
        }
      }
      absentEntries.remove(self);
      for (String name : names(absentEntries)) {
        Long since = absentSince.get(name);
        boolean isolationEnded = since != null && nowNanos - since > ISOLATION_NANOS + leaseNanos;
        if (isolationEnded || isEarlierProcess(name)) {
          absentEntries.remove(name);
        }
      }
      if (!entries.has(self)) {
        epoch++;
        entries.putObject(self).put(LeaseFields.JOINED, epoch);
      }
      ((ObjectNode) entries.path(self))
          .put(LeaseFields.ADOPTED, readEpoch)
          .put(LeaseFields.LIMITS, limitsApplied)
          .put(LeaseFields.SHARES, sharesApplied);
      spec.put(LeaseFields.EPOCH, epoch);
      raiseFloor(spec, LeaseFields.LIMITS, LeaseFields.LIMITS_FLOOR);
      raiseFloor(spec, LeaseFields.SHARES, LeaseFields.SHARES_FLOOR);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Records that a renewal took effect. After a lapse of the lease the share is used again only
   * when the full duration of a lease has passed: until then, other failure domains may still
   * consider this lease expired.
   *
   * @param sentAtNanos monotonic time before the renewal was sent
   * @param heldBefore whether the lease was valid when the renewal took effect
   * @param nowNanos monotonic time now
   */
  public void renewed(long sentAtNanos, boolean heldBefore, long nowNanos) {
    lock.lock();
    try {
      renewedAtNanos = sentAtNanos;
      if (!heldBefore) {
        resumeAtNanos = nowNanos + leaseNanos;
      }
    } finally {
      lock.unlock();
    }
  }

  /**
   * Records a successful read of the lease objects of all failure domains.
   *
   * <p>A limit may have been lowered, to what the isolated shares allow, while this instance was
   * cut off. The share is therefore used only while the last read is younger than the duration of a
   * lease. After a lapse of the lease, this instance must also have applied the newest limits that
   * any failure domain had recorded before the wait described at {@link #renewed} ended. An
   * instance whose limits stay behind those of another one for a third of a lease should use the
   * isolated share only; this is recorded here, but {@link #grantScope} does not enforce it.
   *
   * @param records record of each failure domain, by the name of the domain
   * @param sentAtNanos monotonic time before the read was sent
   */
  public void domainRecordsRead(Map<String, DomainRecord> records, long sentAtNanos) {
    lock.lock();
    try {
      updateAppliedVersions();
      long recorded = 0;
      for (DomainRecord record : records.values()) {
        recorded = Math.max(recorded, record.newestLimitsVersion());
      }
      if (sentAtNanos - resumeAtNanos < 0) {
        resumeFloor = Math.max(resumeFloor, recorded);
      }
      if (limitsApplied >= behindVersion && recorded > limitsApplied) {
        behindVersion = recorded;
        behindSinceNanos = sentAtNanos;
      }
      domainRecordsReadAtNanos = sentAtNanos;
      hasReadDomainRecords = true;
    } finally {
      lock.unlock();
    }
  }

  /** Stops granting for good; must be called before {@link #release}. */
  public void stop() {
    lock.lock();
    stopped = true;
    lock.unlock();
  }

  /** Removes this instance from the content of the lease object, for a planned stop. */
  public void release(ObjectNode spec) {
    spec.withObject("/" + LeaseFields.HOLDERS).remove(self);
    if (spec.withObject("/" + LeaseFields.ROSTER).remove(self) != null) {
      spec.put(LeaseFields.EPOCH, spec.path(LeaseFields.EPOCH).asLong() + 1);
    }
  }

  @Override
  public String ownerOf(String member) {
    lock.lock();
    try {
      return roster.isEmpty()
          ? null
          : instanceOf(RendezvousHashing.rank(key(member), roster.keySet()).get(0));
    } finally {
      lock.unlock();
    }
  }

  @Override
  public GrantScope grantScope(String member, long nowNanos) {
    boolean held = leases.isHeld(nowNanos);
    lock.lock();
    try {
      boolean stale = limitsApplied < limitsFloor || sharesApplied < sharesFloor;
      if (stopped
          || stale
          || !established
          || nowNanos - establishedAtNanos < GRANT_EXPIRY_NANOS
          || !ranksFirst(member, nowNanos)) {
        return GrantScope.NONE;
      }
      if (!held) {
        boolean isolationEnded = nowNanos - renewedAtNanos > ISOLATION_NANOS;
        return isolationEnded || absentMayBeOwner(member, nowNanos)
            ? GrantScope.NONE
            : GrantScope.ISOLATED;
      }
      boolean behind =
          limitsApplied < behindVersion
              && nowNanos - behindSinceNanos >= leaseNanos / PROPAGATIONS_PER_LEASE;
      boolean recent = hasReadDomainRecords && nowNanos - domainRecordsReadAtNanos < leaseNanos;
      boolean resuming = !recent || nowNanos - resumeAtNanos < 0 || limitsApplied < resumeFloor;
      if (absentMayBeOwner(member, nowNanos)) {
        return resuming ? GrantScope.NONE : GrantScope.SHARE;
      }
      return resuming ? GrantScope.ISOLATED : GrantScope.SHARE_AND_ISOLATED;
    } finally {
      lock.unlock();
    }
  }

  @Override
  public long generation() {
    lock.lock();
    try {
      return generation;
    } finally {
      lock.unlock();
    }
  }

  /** Returns the names of the instances in the roster last read, in name order. */
  public List<String> instances() {
    lock.lock();
    try {
      return roster.keySet().stream().map(OwnerRoster::instanceOf).distinct().sorted().toList();
    } finally {
      lock.unlock();
    }
  }

  private boolean ranksFirst(String member, long nowNanos) {
    Set<String> candidates = new HashSet<>(roster.keySet());
    removedGrantsExpireAt.forEach(
        (name, until) -> {
          if (nowNanos - until < 0) {
            candidates.add(name);
          }
        });
    return RendezvousHashing.ranksFirst(key(member), self, candidates);
  }

  /** Returns whether an absent instance may consider itself the owner of a member. */
  private boolean absentMayBeOwner(String member, long nowNanos) {
    long joined = roster.get(self).joined();
    for (Map.Entry<String, Long> entry : absent.entrySet()) {
      boolean hasAdoptedRosterWithSelf = entry.getValue() >= joined;
      if (!hasAdoptedRosterWithSelf
          || !RendezvousHashing.ranksFirst(key(member), self, List.of(entry.getKey()))) {
        return true;
      }
    }
    return absentGrantsExpireAt.values().stream().anyMatch(until -> nowNanos - until < 0);
  }

  private void updateAppliedVersions() {
    limitsApplied = appliedVersion.applyAsLong(Kinds.LIMITS);
    sharesApplied = appliedVersion.applyAsLong(Kinds.SHARES);
  }

  private void updateEstablished(long nowNanos) {
    RosterEntry own = roster.get(self);
    boolean adoptedByAll =
        own != null
            && roster.entrySet().stream()
                .allMatch(
                    entry ->
                        entry.getKey().equals(self) || entry.getValue().adopted() >= own.joined());
    if (adoptedByAll && !established) {
      establishedAtNanos = nowNanos;
    }
    established = adoptedByAll;
  }

  private static void raiseFloor(ObjectNode spec, String versionField, String floorField) {
    long lowest = Long.MAX_VALUE;
    for (JsonNode entry : spec.path(LeaseFields.ROSTER)) {
      lowest = Math.min(lowest, entry.path(versionField).asLong());
    }
    spec.put(floorField, Math.max(spec.path(floorField).asLong(), lowest));
  }

  private static void recordRemoved(
      Set<String> before, Set<String> after, Map<String, Long> expireAt, long nowNanos) {
    expireAt.values().removeIf(time -> nowNanos - time >= 0);
    for (String name : before) {
      if (!after.contains(name)) {
        expireAt.put(name, nowNanos + GRANT_EXPIRY_NANOS);
      }
    }
  }

  private boolean isEarlierProcess(String name) {
    return !name.equals(self) && instanceOf(name).equals(instanceOf(self));
  }

  private static List<String> names(ObjectNode node) {
    List<String> names = new ArrayList<>();
    node.fieldNames().forEachRemaining(names::add);
    return names;
  }

  private static String instanceOf(String holder) {
    int mark = holder.indexOf('#');
    return mark < 0 ? holder : holder.substring(0, mark);
  }

  private static String key(String member) {
    return "limit:" + member;
  }
}
