package org.sedgeroad.live;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.engine.EngineClient;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.peer.EndpointLost;
import org.sedgeroad.peer.MembershipView;
import org.sedgeroad.peer.PeerMessage;
import org.sedgeroad.peer.PeerNetwork;
import org.sedgeroad.peer.QuarantineNews;
import org.sedgeroad.route.CrashGuard;
import org.sedgeroad.route.CrashingRequestDetector;
import org.sedgeroad.route.Placement;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WriteOutcome;

/**
 * Exchanges reports on lost endpoints and quarantines with other instances, and stores quarantines.
 * Thread-safe. Only {@link #publish} blocks; it is called by one thread.
 */
public final class CrashReportExchange {
  /** Interval between attempts to write to the store after a failure. */
  private static final long RETRY_MILLIS = 2_000;

  private final String instance;
  private final CrashingRequestDetector detector;
  private final MembershipView membership;
  private final BiConsumer<String, PeerMessage> messageSender;
  private final StoreWriter writer;
  private final MonotonicClock clock;
  private final EventLog log;
  private final Map<String, Instant> unstoredQuarantines = new ConcurrentHashMap<>();
  private boolean retryPending;
  private long retryNanos;

  /**
   * Creates an exchange.
   *
   * @param instance name of this instance
   * @param detector detector of crashing requests
   * @param membership live instances of this instance's failure domain
   * @param messageSender sends a message to an instance without blocking
   * @param writer writer of the store
   * @param clock monotonic clock
   * @param log event log
   */
  public CrashReportExchange(
      String instance,
      CrashingRequestDetector detector,
      MembershipView membership,
      BiConsumer<String, PeerMessage> messageSender,
      StoreWriter writer,
      MonotonicClock clock,
      EventLog log) {
    this.instance = instance;
    this.detector = detector;
    this.membership = membership;
    this.messageSender = messageSender;
    this.writer = writer;
    this.clock = clock;
    this.log = log;
  }

  /** Returns the detector of crashing requests. */
  public CrashingRequestDetector detector() {
    return detector;
  }

  /**
   * Returns a guard for senders of batch items that probes endpoints with the given client and
   * reports lost endpoints to the peers.
   */
  public CrashGuard createCrashGuard(EngineClient engine) {
    EndpointProbe probe = new EndpointProbe(engine, clock);
    return new CrashGuard(detector, placement -> hasCrashed(probe, placement), this::endpointLost);
  }

  private static boolean hasCrashed(EndpointProbe probe, Placement placement) {
    try {
      return probe.hasCrashed(placement);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /**
   * Records that the endpoint of a request whose connection broke has crashed, and reports it to
   * the peers.
   */
  public void endpointLost(Placement placement) {
    List<String> fingerprints = detector.endpointLost(placement, clock.nanos());
    log.log(
        LogEvent.ENDPOINT_LOST,
        EventField.of("endpoint", placement.endpoint()),
        EventField.of("requests", fingerprints.size()));
    sendToPeers(
        new EndpointLost(
            instance, placement.endpoint(), placement.address().toString(), fingerprints));
  }

  /** Registers handlers for the reports of other instances. */
  public void registerHandlers(PeerNetwork network) {
    network.handle(
        EndpointLost.class,
        (sender, report) -> {
          receive(report);
          return Optional.empty();
        });
    network.handle(
        QuarantineNews.class,
        (sender, notification) -> {
          receive(notification);
          return Optional.empty();
        });
  }

  /** Processes a peer's report on a lost endpoint. */
  public void receive(EndpointLost report) {
    detector.recordLoss(report.endpoint(), report.address(), report.fingerprints(), clock.nanos());
  }

  /** Processes a peer's notification of a quarantine. */
  public void receive(QuarantineNews notification) {
    detector.quarantine(
        notification.fingerprint(), Instant.ofEpochMilli(notification.deadlineMillis()));
  }

  /** Applies a changed or deleted object of the configuration. Only quarantines have an effect. */
  public void apply(StoredObject object) {
    if (!object.kind().equals(Kinds.QUARANTINES)) {
      return;
    }
    if (object.isDeleted()) {
      unstoredQuarantines.remove(object.name());
      detector.liftQuarantine(object.name());
      return;
    }
    try {
      Instant deadline = Instant.parse(object.spec().path("deadline").asText());
      detector.quarantine(object.name(), deadline);
    } catch (DateTimeException invalid) {
      // A stored quarantine with an invalid deadline is logged as a general error and ignored.
      log.log(
          LogEvent.REQUEST_ERROR,
          EventField.of("quarantine", object.name()),
          EventField.of("cause", invalid));
    }
  }

  /** Sends new quarantines to the peers and writes them to the store. Called at short intervals. */
  public void publish() {
    detector
        .takeUnpublishedQuarantines()
        .forEach(
            (fingerprint, deadline) -> {
              log.log(LogEvent.REQUEST_QUARANTINED, EventField.of("fingerprint", fingerprint));
              sendToPeers(new QuarantineNews(fingerprint, deadline.toEpochMilli()));
              unstoredQuarantines.put(fingerprint, deadline);
            });
    if (!unstoredQuarantines.isEmpty() && (!retryPending || clock.hasPassed(retryNanos))) {
      unstoredQuarantines.entrySet().removeIf(entry -> store(entry.getKey(), entry.getValue()));
      retryPending = !unstoredQuarantines.isEmpty();
      retryNanos = clock.deadlineAfterMillis(RETRY_MILLIS);
    }
  }

  /** Writes a quarantine to the store; returns false if this must be tried again. */
  private boolean store(String fingerprint, Instant deadline) {
    var spec = JsonNodeFactory.instance.objectNode().put("deadline", deadline.toString());
    WriteOutcome outcome = writer.create(Kinds.QUARANTINES, fingerprint, spec);
    if (outcome instanceof WriteOutcome.Lost conflict && hasExpired(conflict.current())) {
      long version = conflict.current().version();
      outcome = writer.update(Kinds.QUARANTINES, fingerprint, version, spec);
    }
    boolean stored =
        outcome instanceof WriteOutcome.Written || outcome instanceof WriteOutcome.Lost;
    if (!stored) {
      log.log(
          LogEvent.QUARANTINE_NOT_STORED,
          EventField.of("fingerprint", fingerprint),
          EventField.of("result", outcome));
    }
    return stored;
  }

  private static boolean hasExpired(StoredObject stored) {
    if (stored == null || stored.isDeleted()) {
      return false;
    }
    try {
      return Instant.parse(stored.spec().path("deadline").asText()).isBefore(Instant.now());
    } catch (DateTimeException invalid) {
      return true;
    }
  }

  private void sendToPeers(PeerMessage message) {
    for (String peer : membership.liveInstances()) {
      if (!peer.equals(instance)) {
        messageSender.accept(peer, message);
      }
    }
  }
}
