package org.sedgeroad.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.command.InstanceStatus;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.lease.LeaseTable;
import org.sedgeroad.limit.DomainRecord;
import org.sedgeroad.peer.MemberStatus;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;

/**
 * Reads the state of all instances from the lease objects and the peers. Calls block; thread-safe.
 */
final class InstanceStatusReader {
  private final InstanceStatus self;
  private final ObjectStore store;
  private final LeaseTable leases;
  private final MonotonicClock clock;
  private final java.util.function.Supplier<List<MemberStatus>> peers;
  private final java.util.function.LongSupplier ownLimitsVersion;

  InstanceStatusReader(
      InstanceStatus self,
      ObjectStore store,
      LeaseTable leases,
      MonotonicClock clock,
      java.util.function.Supplier<List<MemberStatus>> peers,
      java.util.function.LongSupplier ownLimitsVersion) {
    this.self = self;
    this.store = store;
    this.leases = leases;
    this.clock = clock;
    this.peers = peers;
    this.ownLimitsVersion = ownLimitsVersion;
  }

  /**
   * Returns the record of each failure domain by its name, empty if the lease objects can't be
   * read.
   */
  Optional<Map<String, DomainRecord>> readDomainRecords() {
    return listLeaseObjects()
        .map(
            objects -> {
              Map<String, DomainRecord> records = new TreeMap<>();
              for (StoredObject object : objects) {
                records.put(object.name(), DomainRecord.fromSpec(object.spec(), this::isExpired));
              }
              return records;
            });
  }

  /**
   * Returns, by instance, the version up to which it had applied all limits at its last renewal.
   */
  Map<String, Long> readLimitVersions() {
    Map<String, Long> versions = new TreeMap<>();
    listLeaseObjects()
        .orElse(List.of())
        .forEach(
            object ->
                forEachHolder(
                    object,
                    (name, entry) ->
                        versions.merge(name, entry.path("limits").asLong(), Math::max)));
    versions.put(self.name(), ownLimitsVersion.getAsLong());
    return versions;
  }

  /** Returns all instances that the peers or the lease objects list, in name order. */
  List<InstanceStatus> readInstances() {
    Map<String, InstanceStatus> statuses = new TreeMap<>();
    listLeaseObjects()
        .orElse(List.of())
        .forEach(
            object ->
                forEachHolder(
                    object,
                    (name, entry) ->
                        statuses.put(name, new InstanceStatus(name, object.name(), "lease held"))));
    for (MemberStatus peer : peers.get()) {
      String state = peer.state().name().toLowerCase(Locale.ROOT);
      statuses.put(peer.instance(), new InstanceStatus(peer.instance(), peer.domain(), state));
    }
    statuses.put(self.name(), self);
    return List.copyOf(statuses.values());
  }

  private Optional<List<StoredObject>> listLeaseObjects() {
    StoreResult<ObjectList> listed = store.list(Kinds.LEASES, "");
    return listed instanceof StoreResult.Done<ObjectList> done
        ? Optional.of(done.value().objects())
        : Optional.empty();
  }

  /**
   * Calls the action with the instance name and roster entry of each holder in a lease object whose
   * lease has not expired.
   */
  private void forEachHolder(StoredObject object, BiConsumer<String, JsonNode> action) {
    JsonNode roster = object.spec().path("roster");
    object
        .spec()
        .path("holders")
        .fieldNames()
        .forEachRemaining(
            holder -> {
              if (!isExpired(holder)) {
                // A holder name is the instance name, "#" and a suffix that differs at each start.
                action.accept(holder.replaceFirst("#[^#]*$", ""), roster.path(holder));
              }
            });
  }

  private boolean isExpired(String holder) {
    return leases.isExpired(holder, clock.nanos());
  }
}
