package org.sedgeroad.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.lease.LeaseTable;
import org.sedgeroad.lease.RenewalBook;
import org.sedgeroad.peer.LeaseRenewal;
import org.sedgeroad.peer.MembershipView;
import org.sedgeroad.peer.PeerMessage;
import org.sedgeroad.peer.PeerNetwork;
import org.sedgeroad.peer.Rendezvous;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WriteOutcome;

/**
 * Renews this instance's lease and reads the leases of others.
 *
 * <p>One instance of the failure domain, chosen by rendezvous hash, writes the counters of all
 * instances in one conditional update each period. The others send it their counters and read the
 * lease object once each period. An instance that does not find its counter there half a period
 * after the update was due writes for itself.
 */
final class LeaseKeeper {
  /** Calls of {@link #tick} in one renewal period; every second one renews. */
  static final int TICKS_PER_PERIOD = 2;

  private static final int WRITE_TRIES = 5;

  private final StoreWriter writer;
  private final LeaseTable leases;
  private final String domain;
  private final String instance;
  private final MembershipView membership;
  private final MonotonicClock clock;
  private final EventLog log;
  private final RenewalBook book;
  private volatile PeerNetwork peers;
  private long ticks;
  private volatile boolean left;

  /**
   * Creates a keeper.
   *
   * @param writer writer whose name, {@code DOMAIN/INSTANCE#RUN}, is the holder
   * @param leases table that learns of renewals and of the others' leases
   * @param instance name of this instance
   * @param membership live instances of the failure domain
   * @param clock monotonic clock
   * @param log event log
   */
  LeaseKeeper(
      StoreWriter writer,
      LeaseTable leases,
      String instance,
      MembershipView membership,
      MonotonicClock clock,
      EventLog log) {
    this.writer = writer;
    this.leases = leases;
    this.domain = LeaseTable.domainOf(writer.name());
    this.instance = instance;
    this.membership = membership;
    this.clock = clock;
    this.log = log;
    this.book = new RenewalBook(writer.name());
  }

  /** Sends renewals over the network from now on and takes those of others. */
  void usePeers(PeerNetwork network) {
    network.handle(LeaseRenewal.class, this::receive);
    peers = network;
  }

  private Optional<PeerMessage> receive(String sender, LeaseRenewal renewal) {
    if (LeaseTable.domainOf(renewal.holder()).equals(domain)) {
      book.received(renewal.holder(), renewal.counter());
    }
    return Optional.empty();
  }

  // -----------------------------------------------------------------------

  /** Renews and reads in turns; called by one thread, twice in a renewal period. */
  void tick() {
    if (left) {
      return;
    }
    boolean heldBefore = leases.isHeld(clock.nanos());
    if (ticks++ % TICKS_PER_PERIOD == 0) {
      renew();
    } else {
      readAll();
      // After the due update and half a period of grace: the third tick of a counter.
      if (book.ticksUnconfirmed() >= TICKS_PER_PERIOD + 1) {
        write();
      }
    }
    if (heldBefore && !leases.isHeld(clock.nanos())) {
      log.log(LogEvent.LEASE_LAPSED, EventField.of("domain", domain));
    }
  }

  /** Gives the lease up, after all segments are released. */
  void leave() {
    left = true;
    book.leave();
    write();
  }

  // -----------------------------------------------------------------------

  private void renew() {
    String leaseWriter =
        Rendezvous.rank("lease-writer/" + domain, membership.liveInstances()).get(0);
    PeerNetwork network = peers;
    boolean selfWrites = network == null || leaseWriter.equals(instance);
    long counter = book.next(clock.nanos());
    if (selfWrites || !leases.isHeld(clock.nanos())) {
      write();
    } else {
      network.send(leaseWriter, new LeaseRenewal(writer.name(), counter));
    }
  }

  private void write() {
    for (int attempt = 0; attempt < WRITE_TRIES && !tryWrite(); attempt++) {
      // Another instance wrote in between; its counters are read again.
    }
  }

  /** Writes all known counters; returns false if another write was faster. */
  private boolean tryWrite() {
    long sentAt = clock.nanos();
    StoreResult<StoredObject> found = writer.store().get(Kinds.LEASES, domain);
    WriteOutcome outcome;
    if (found instanceof StoreResult.Done<StoredObject> done) {
      outcome =
          writer.update(
              Kinds.LEASES,
              domain,
              done.value().version(),
              book.merge(done.value().spec(), clock.nanos()));
    } else if (found instanceof StoreResult.Absent) {
      outcome = writer.create(Kinds.LEASES, domain, book.merge(null, clock.nanos()));
    } else {
      return true;
    }
    if (outcome instanceof WriteOutcome.Written written) {
      observe(domain, written.object(), sentAt);
      return true;
    }
    return !(outcome instanceof WriteOutcome.Lost);
  }

  private void readAll() {
    boolean answered = read(domain);
    for (String other : leases.domainsToRead(clock.nanos())) {
      // Each call may take the store's timeout; the next renewal must not wait for several.
      answered = answered && (other.equals(domain) || read(other));
    }
  }

  private boolean read(String read) {
    long sentAt = clock.nanos();
    StoreResult<StoredObject> found = writer.store().get(Kinds.LEASES, read);
    if (found instanceof StoreResult.Done<StoredObject> done) {
      observe(read, done.value(), sentAt);
    } else if (found instanceof StoreResult.Absent) {
      leases.observe(read, Map.of(), sentAt, clock.nanos());
    } else {
      return false;
    }
    return true;
  }

  private void observe(String read, StoredObject object, long sentAt) {
    Map<String, Long> counters = new HashMap<>();
    object
        .spec()
        .path("holders")
        .fields()
        .forEachRemaining(field -> counters.put(field.getKey(), field.getValue().asLong()));
    leases.observe(read, counters, sentAt, clock.nanos());
    Long own = counters.get(writer.name());
    if (read.equals(domain) && own != null) {
      book.confirm(own).ifPresent(leases::renewed);
    }
  }
}
