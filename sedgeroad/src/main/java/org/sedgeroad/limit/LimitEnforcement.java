package org.sedgeroad.limit;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToLongFunction;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.lease.LeaseTable;
import org.sedgeroad.peer.GrantRequest;
import org.sedgeroad.peer.PeerNetwork;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;

/** Components of one instance that enforce the voted limits of members. Thread-safe. */
public final class LimitEnforcement {
  private final Map<String, MemberLimits> limits = new ConcurrentHashMap<>();
  private final Map<String, ShareLedger> shares = new ConcurrentHashMap<>();
  private final DomainRecords records = new DomainRecords();
  private final LeaseTable leases;
  private final MonotonicClock clock;
  private final String domain;
  private final List<String> domains;
  private final OwnerRoster roster;
  private final Grantor grantor;
  private final GrantedLimitGate gate;

  /**
   * Creates the components of an instance and starts to answer its peers' requests for sub-grants.
   *
   * @param self name of the instance
   * @param holder holder name of the instance in its lease
   * @param domain failure domain of the instance
   * @param domains all failure domains, the same list on each instance; empty if there is only one
   * @param leaseMillis duration of a lease in milliseconds
   * @param leases lease table of the instance
   * @param replica configuration replica of the instance
   * @param appliedVersion returns, for a configuration kind, the version up to which the replica
   *     has every change
   * @param network sends requests to the peers and receives theirs
   * @param clock monotonic clock
   */
  public LimitEnforcement(
      String self,
      String holder,
      String domain,
      List<String> domains,
      long leaseMillis,
      LeaseTable leases,
      ConfigurationReplica replica,
      ToLongFunction<String> appliedVersion,
      PeerNetwork network,
      MonotonicClock clock) {
    this.leases = leases;
    this.clock = clock;
    this.domain = domain;
    this.domains = domains.isEmpty() ? List.of(domain) : List.copyOf(domains);
    this.roster = OwnerRoster.of(holder, leases, leaseMillis, appliedVersion);
    this.grantor =
        new Grantor(
            roster,
            this::find,
            this::sharesOf,
            records::all,
            DomainAllowance.of(domain, this.domains));
    this.gate = GrantedLimitGate.of(self, this::find, roster, grantor, network, clock);
    replica.list(Kinds.LIMITS).forEach(this::apply);
    replica.list(Kinds.SHARES).forEach(this::apply);
    replica.addListener(this::apply);
    network.handle(
        GrantRequest.class,
        (sender, request) -> Optional.of(grantor.grant(request, clock.nanos())));
  }

  /** Returns the gate for this instance's requests. */
  public GrantedLimitGate gate() {
    return gate;
  }

  /** Returns a coordinator that moves shares to and from this failure domain. */
  public ShareCoordinator coordinator(StoreWriter writer) {
    return new ShareCoordinator(writer, grantor, this::ledger, records::all, domain, domains);
  }

  /** Returns a service for votes; it reads the lease objects from the writer's store. */
  public VoteService votes(StoreWriter writer) {
    return new VoteService(writer, () -> readRecords(writer.store()), domains, clock);
  }

  /** Returns the roster that selects the owners in the failure domain. */
  public OwnerRoster roster() {
    return roster;
  }

  /** Returns the records of the failure domains from the last read of the lease objects. */
  public DomainRecords records() {
    return records;
  }

  /** Returns the limits that apply to a member, empty if it is unlimited. */
  public Optional<MemberLimits> find(String member) {
    MemberLimits own = limits.get(member);
    return Optional.ofNullable(own != null ? own : limits.get(MemberLimits.DEFAULT_NAME));
  }

  /** Returns the shares of a member. */
  public MemberShares sharesOf(String member) {
    return ledger(ShareLedger.shardOf(member)).of(member, domains);
  }

  private ShareLedger ledger(String shard) {
    return shares.getOrDefault(shard, ShareLedger.none());
  }

  private Optional<Map<String, DomainRecord>> readRecords(ObjectStore store) {
    return store.list(Kinds.LEASES, "") instanceof StoreResult.Done<ObjectList> done
        ? Optional.of(
            DomainRecords.read(
                done.value().objects(), holder -> leases.isExpired(holder, clock.nanos())))
        : Optional.empty();
  }

  /**
   * Records a successful read of all lease objects; called after the lease table has observed them.
   *
   * @param leaseObjects the lease objects of all failure domains
   * @param sentAtNanos monotonic time before the read was sent
   */
  public void leasesRead(List<StoredObject> leaseObjects, long sentAtNanos) {
    Map<String, DomainRecord> read =
        records.update(leaseObjects, holder -> leases.isExpired(holder, clock.nanos()));
    roster.domainRecordsRead(read, sentAtNanos);
  }

  private void apply(StoredObject object) {
    if (object.kind().equals(Kinds.LIMITS)) {
      if (object.isDeleted()) {
        limits.remove(object.name());
      } else {
        limits.merge(
            object.name(),
            MemberLimits.fromObject(object),
            (current, read) -> read.version() > current.version() ? read : current);
      }
    } else if (object.kind().equals(Kinds.SHARES) && !object.isDeleted()) {
      shares.merge(
          object.name(),
          ShareLedger.fromSpec(object.version(), object.spec()),
          (current, read) -> read.version() > current.version() ? read : current);
    }
  }
}
