package org.sedgeroad.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.lease.LeaseTable;
import org.sedgeroad.limit.LimitEnforcement;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WriteOutcome;

/** Renews this instance's lease in the lease object of its failure domain and reads all leases. */
final class LeaseRenewer {
  private static final int MAX_WRITE_ATTEMPTS = 5;

  private final StoreWriter writer;
  private final LeaseTable leases;
  private final LimitEnforcement limitEnforcement;
  private final String domain;
  private final MonotonicClock clock;
  private final EventLog log;
  private final AtomicLong counter = new AtomicLong();

  LeaseRenewer(
      StoreWriter writer,
      LeaseTable leases,
      LimitEnforcement limitEnforcement,
      String domain,
      MonotonicClock clock,
      EventLog log) {
    this.writer = writer;
    this.leases = leases;
    this.limitEnforcement = limitEnforcement;
    this.domain = domain;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Renews the lease, with further attempts if another instance changed the lease object meanwhile,
   * and then reads the leases of all failure domains once.
   */
  void renew() {
    boolean heldBefore = leases.isHeld(clock.nanos());
    for (int attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      if (tryRenew()) {
        break;
      }
    }
    readLeases();
    if (heldBefore && !leases.isHeld(clock.nanos())) {
      log.log(LogEvent.LEASE_LAPSED, EventField.of("domain", domain));
    }
  }

  /**
   * Ends this instance's lease and removes it from the candidates for bucket owners, for a planned
   * stop.
   */
  void release() {
    limitEnforcement.roster().stop();
    for (int attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      StoreResult<StoredObject> found = writer.store().get(Kinds.LEASES, domain);
      if (!(found instanceof StoreResult.Done<StoredObject> done)) {
        return;
      }
      ObjectNode spec = done.value().spec().deepCopy();
      limitEnforcement.roster().release(spec);
      if (!(writer.update(Kinds.LEASES, domain, done.value().version(), spec)
          instanceof WriteOutcome.Lost)) {
        return;
      }
    }
  }

  private boolean tryRenew() {
    long sentAt = clock.nanos();
    StoreResult<StoredObject> found = writer.store().get(Kinds.LEASES, domain);
    WriteOutcome outcome;
    if (found instanceof StoreResult.Done<StoredObject> done) {
      limitEnforcement.roster().adopt(done.value().spec(), sentAt, clock.nanos());
      ObjectNode spec = done.value().spec().deepCopy();
      limitEnforcement.roster().prepare(spec, clock.nanos());
      spec.withObject("/holders").put(writer.name(), counter.incrementAndGet());
      outcome = writer.update(Kinds.LEASES, domain, done.value().version(), spec);
    } else if (found instanceof StoreResult.Absent) {
      ObjectNode spec = JsonNodeFactory.instance.objectNode();
      limitEnforcement.roster().prepare(spec, clock.nanos());
      spec.withObject("/holders").put(writer.name(), counter.incrementAndGet());
      outcome = writer.create(Kinds.LEASES, domain, spec);
    } else {
      return true;
    }
    if (outcome instanceof WriteOutcome.Written written) {
      long now = clock.nanos();
      limitEnforcement.roster().renewed(sentAt, leases.isHeld(now), now);
      leases.renewed(sentAt, now);
      limitEnforcement.roster().adopt(written.object().spec(), sentAt, now);
      return true;
    }
    return !(outcome instanceof WriteOutcome.Lost);
  }

  private void readLeases() {
    long readAt = clock.nanos();
    StoreResult<ObjectList> listed = writer.store().list(Kinds.LEASES, "");
    if (listed instanceof StoreResult.Done<ObjectList> done) {
      Map<String, Long> counters = new HashMap<>();
      for (StoredObject object : done.value().objects()) {
        object
            .spec()
            .path("holders")
            .fields()
            .forEachRemaining(field -> counters.put(field.getKey(), field.getValue().asLong()));
      }
      leases.observeAll(counters, readAt, clock.nanos());
      limitEnforcement.leasesRead(done.value().objects(), readAt);
    }
  }
}
