package org.sedgeroad.route;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sedgeroad.ServiceClass;

/**
 * Detects requests that crash endpoints. Requests are identified by their fingerprints.
 *
 * <p>All requests in flight at a lost endpoint become suspects. No two suspects run at the same
 * endpoint at the same time, so that a second loss identifies one of them. A fingerprint is
 * quarantined after two lost endpoints if it was the only suspect at one of them. Requests that
 * only happened to run at the same endpoint are cleared when they receive a complete answer.
 *
 * <p>The sender of a request calls {@link #verdict}, then {@link #tryBegin} before sending and
 * {@link #end} afterwards. If the connection broke, it checks whether the endpoint has crashed and
 * calls {@link #endpointLost} if so. After a complete answer it calls {@link #clearSuspicion}. For
 * items of jobs, {@link #itemVerdict} and {@link #itemAnswered} take the place of {@link #verdict}
 * and {@link #clearSuspicion}. Requests with an empty fingerprint are ignored. All {@code now}
 * parameters are monotonic times in nanoseconds. Thread-safe.
 */
public final class CrashingRequestDetector {
  /**
   * Time within which other instances report the requests that they had in flight at a lost
   * endpoint.
   */
  private static final long PEER_REPORT_WAIT_NANOS = 300_000_000L;

  /**
   * Time for which a request still counts as in flight at an endpoint after its connection broke.
   */
  private static final long BROKEN_REQUEST_RETENTION_NANOS = 2_000_000_000L;

  private static final long SUSPICION_DURATION_NANOS = 600_000_000_000L;
  private static final Duration QUARANTINE_DURATION = Duration.ofHours(1);
  private static final int MAX_LOST_ENDPOINTS = 1_000;

  /** Time before and after a loss within which another endpoint's loss shows a common cause. */
  private static final long CALM_NANOS = 2_000_000_000L;

  /** Number of losses that condemn an item, if others were answered in the meantime. */
  private static final int CONDEMNING_LOSSES = 2;

  /** Number of losses that condemn an item, if no other was answered in the meantime. */
  private static final int CONDEMNING_LOSSES_WITHOUT_ANSWERS = 4;

  /**
   * Reports on the same address that are further apart than this refer to two losses: the endpoint
   * has restarted in between.
   */
  private static final long SAME_LOSS_WINDOW_NANOS = 3_000_000_000L;

  private record BrokenRequest(String fingerprint, long nanos) {}

  private final InstantSource wallClock;
  private final Map<String, List<Placement>> inFlight = new HashMap<>();
  private final Map<String, List<BrokenRequest>> brokenRequests = new HashMap<>();
  private final Deque<LostEndpoint> lostEndpoints = new ArrayDeque<>();
  private final Map<String, Instant> quarantines = new HashMap<>();
  private final Set<String> unpublishedQuarantines = new HashSet<>();

  /**
   * Creates a detector without suspects or quarantines. The clock is used for the deadlines of
   * quarantines.
   */
  public CrashingRequestDetector(InstantSource wallClock) {
    this.wallClock = wallClock;
  }

  /**
   * Returns the verdict on requests with the fingerprint. The call quarantines the fingerprint if
   * the conditions in the class comment are met and the other instances have had time to report.
   */
  public synchronized CrashVerdict verdict(String fingerprint, long now) {
    if (fingerprint.isEmpty()) {
      return CrashVerdict.CLEAR;
    }
    Instant deadline = quarantines.get(fingerprint);
    if (deadline != null) {
      if (wallClock.instant().isBefore(deadline)) {
        return CrashVerdict.QUARANTINED;
      }
      quarantines.remove(fingerprint);
    }
    int lossCount = 0;
    LostEndpoint soleSuspectLoss = null;
    for (LostEndpoint loss : lostEndpoints) {
      if (now - loss.lostAtNanos() < SUSPICION_DURATION_NANOS
          && loss.fingerprints().contains(fingerprint)) {
        lossCount++;
        soleSuspectLoss = loss.isOnlySuspect(fingerprint) ? loss : soleSuspectLoss;
      }
    }
    if (lossCount < 2 || soleSuspectLoss == null) {
      return lossCount == 0 ? CrashVerdict.CLEAR : CrashVerdict.SUSPECT;
    }
    if (now - soleSuspectLoss.lostAtNanos() < PEER_REPORT_WAIT_NANOS) {
      return CrashVerdict.AWAITING_REPORTS;
    }
    quarantines.put(fingerprint, wallClock.instant().plus(QUARANTINE_DURATION));
    unpublishedQuarantines.add(fingerprint);
    return CrashVerdict.QUARANTINED;
  }

  /**
   * Returns the verdict on an item of a job. An item is owed until it is shown to crash endpoints,
   * so that stricter conditions apply to it than to a live request, and no quarantine.
   *
   * <p>A loss counts against an item if the item was the only suspect there and no endpoint that
   * did not run it was lost at about the same time. {@link CrashVerdict#QUARANTINED} is returned
   * after two such losses if another request of the service was answered between the item's first
   * loss and its last one, and after four otherwise.
   */
  public synchronized CrashVerdict itemVerdict(RequestShape item, long now) {
    String fingerprint = item.fingerprint();
    List<LostEndpoint> losses =
        lostEndpoints.stream()
            .filter(loss -> now - loss.lostAtNanos() < SUSPICION_DURATION_NANOS)
            .filter(loss -> loss.fingerprints().contains(fingerprint))
            .toList();
    if (fingerprint.isEmpty() || losses.isEmpty()) {
      return CrashVerdict.CLEAR;
    }
    LostEndpoint last = losses.get(losses.size() - 1);
    long counted = losses.stream().filter(loss -> countsAgainst(fingerprint, loss)).count();
    int needed =
        losses.get(0).isAnswerBetween(item.service(), last)
            ? CONDEMNING_LOSSES
            : CONDEMNING_LOSSES_WITHOUT_ANSWERS;
    if (counted < needed) {
      return CrashVerdict.SUSPECT;
    }
    return now - last.lostAtNanos() < CALM_NANOS
        ? CrashVerdict.AWAITING_REPORTS
        : CrashVerdict.QUARANTINED;
  }

  private boolean countsAgainst(String fingerprint, LostEndpoint loss) {
    return loss.isOnlySuspect(fingerprint)
        && lostEndpoints.stream()
            .filter(other -> !other.fingerprints().contains(fingerprint))
            .noneMatch(other -> Math.abs(other.lostAtNanos() - loss.lostAtNanos()) < CALM_NANOS);
  }

  /**
   * Clears an item of suspicion after a complete answer, which also shows that endpoints of its
   * service are sound.
   */
  public synchronized void itemAnswered(RequestShape item, long now) {
    clearSuspicion(item.fingerprint());
    lostEndpoints.forEach(loss -> loss.recordAnswer(item.service(), now));
  }

  /**
   * Returns the names of the endpoints at which a suspect is running. No other suspect may be sent
   * to them.
   */
  public synchronized Set<String> endpointsWithSuspects(long now) {
    Set<String> names = new HashSet<>();
    inFlight.values().stream()
        .flatMap(List::stream)
        .filter(placement -> isSuspect(placement.request().fingerprint(), now))
        .forEach(placement -> names.add(placement.endpoint()));
    return names;
  }

  /**
   * Records that a request is about to be sent.
   *
   * @return whether the request may be sent to this endpoint; if not, {@link #end} must not be
   *     called. A suspect may not be sent while another suspect is running at the endpoint or while
   *     the other instances' reports on a lost endpoint are awaited, and a quarantined request may
   *     not be sent at all
   */
  public synchronized boolean tryBegin(Placement placement, long now) {
    String fingerprint = placement.request().fingerprint();
    if (fingerprint.isEmpty()) {
      return true;
    }
    CrashVerdict verdict =
        placement.request().serviceClass() == ServiceClass.BATCH
            ? itemVerdict(placement.request(), now)
            : verdict(fingerprint, now);
    List<Placement> placements =
        inFlight.computeIfAbsent(endpointKey(placement), key -> new ArrayList<>());
    boolean allowed =
        verdict == CrashVerdict.CLEAR
            || (verdict == CrashVerdict.SUSPECT
                && placements.stream()
                    .noneMatch(other -> isSuspect(other.request().fingerprint(), now)));
    if (allowed) {
      placements.add(placement);
    }
    return allowed;
  }

  /**
   * Records that a request is no longer in flight at an endpoint.
   *
   * @param connectionBroke whether the request ended because the connection broke
   */
  public synchronized void end(Placement placement, boolean connectionBroke, long now) {
    String fingerprint = placement.request().fingerprint();
    List<Placement> placements = inFlight.get(endpointKey(placement));
    if (fingerprint.isEmpty() || placements == null) {
      return;
    }
    // Equal placements are interchangeable, so that any one of them may be removed.
    placements.remove(placement);
    if (placements.isEmpty()) {
      inFlight.remove(endpointKey(placement));
    }
    if (connectionBroke) {
      brokenRequests
          .computeIfAbsent(endpointKey(placement), key -> new ArrayList<>())
          .add(new BrokenRequest(fingerprint, now));
    }
    brokenRequests
        .values()
        .forEach(list -> list.removeIf(old -> now - old.nanos() >= BROKEN_REQUEST_RETENTION_NANOS));
    brokenRequests.values().removeIf(List::isEmpty);
  }

  /** Clears a fingerprint of suspicion after a complete answer. */
  public synchronized void clearSuspicion(String fingerprint) {
    if (!lostEndpoints.isEmpty()) {
      lostEndpoints.forEach(loss -> loss.fingerprints().remove(fingerprint));
    }
  }

  /**
   * Records that the endpoint of a request whose connection broke has crashed.
   *
   * @return the fingerprints of all requests that this instance had in flight there, to be reported
   *     to the other instances
   */
  public synchronized List<String> endpointLost(Placement placement, long now) {
    Set<String> fingerprints = new HashSet<>();
    inFlight
        .getOrDefault(endpointKey(placement), List.of())
        .forEach(other -> fingerprints.add(other.request().fingerprint()));
    brokenRequests.getOrDefault(endpointKey(placement), List.of()).stream()
        .filter(other -> now - other.nanos() < BROKEN_REQUEST_RETENTION_NANOS)
        .forEach(other -> fingerprints.add(other.fingerprint()));
    fingerprints.add(placement.request().fingerprint());
    fingerprints.remove("");
    recordLoss(placement.endpoint(), placement.address().toString(), fingerprints, now);
    return List.copyOf(fingerprints);
  }

  /**
   * Records that an endpoint was lost with the given requests in flight, as seen by this or another
   * instance. Reports on the same loss are merged.
   */
  public synchronized void recordLoss(
      String endpoint, String address, Iterable<String> fingerprints, long now) {
    lostEndpoints.removeIf(old -> now - old.lostAtNanos() >= SUSPICION_DURATION_NANOS);
    String key = endpoint + "@" + address;
    LostEndpoint loss = null;
    for (LostEndpoint other : lostEndpoints) {
      boolean isSameLoss =
          other.key().equals(key) && now - other.lostAtNanos() < SAME_LOSS_WINDOW_NANOS;
      loss = isSameLoss ? other : loss;
    }
    Map<String, Boolean> suspectedBefore = new HashMap<>();
    for (String fingerprint : fingerprints) {
      suspectedBefore.put(fingerprint, isSuspectFromOtherLoss(fingerprint, loss));
    }
    if (loss == null) {
      loss = new LostEndpoint(key, now);
      lostEndpoints.addLast(loss);
      if (lostEndpoints.size() > MAX_LOST_ENDPOINTS) {
        lostEndpoints.removeFirst();
      }
    }
    suspectedBefore.forEach(loss::add);
  }

  /**
   * Applies a quarantine that another instance has reported or that was read from the store. Of two
   * deadlines the later one applies.
   */
  public synchronized void quarantine(String fingerprint, Instant deadline) {
    quarantines.merge(
        fingerprint,
        deadline,
        (existing, received) -> received.isAfter(existing) ? received : existing);
  }

  /** Lifts a quarantine and clears the fingerprint of suspicion. */
  public synchronized void liftQuarantine(String fingerprint) {
    quarantines.remove(fingerprint);
    unpublishedQuarantines.remove(fingerprint);
    clearSuspicion(fingerprint);
  }

  /**
   * Returns the deadlines of the quarantines that this instance has set since the last call, by
   * fingerprint.
   */
  public synchronized Map<String, Instant> takeUnpublishedQuarantines() {
    Map<String, Instant> taken = new HashMap<>();
    unpublishedQuarantines.forEach(
        fingerprint -> taken.put(fingerprint, quarantines.get(fingerprint)));
    taken.values().removeIf(deadline -> deadline == null);
    unpublishedQuarantines.clear();
    return taken;
  }

  private boolean isSuspect(String fingerprint, long now) {
    return lostEndpoints.stream()
        .anyMatch(
            loss ->
                now - loss.lostAtNanos() < SUSPICION_DURATION_NANOS
                    && loss.fingerprints().contains(fingerprint));
  }

  private boolean isSuspectFromOtherLoss(String fingerprint, LostEndpoint excludedLoss) {
    return lostEndpoints.stream()
        .anyMatch(loss -> loss != excludedLoss && loss.fingerprints().contains(fingerprint));
  }

  private static String endpointKey(Placement placement) {
    return placement.endpoint() + "@" + placement.address();
  }
}
