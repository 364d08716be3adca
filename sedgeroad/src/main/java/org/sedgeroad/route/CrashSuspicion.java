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

/**
 * Detects requests that crash endpoints. Requests are identified by their fingerprints.
 *
 * <p>All requests in flight at a lost endpoint become suspects. No two suspects run at the same
 * endpoint at the same time, so that a second loss identifies one of them. A fingerprint is
 * quarantined after two lost endpoints if it was the only suspect at one of them. Requests that
 * only happened to run at the same endpoint are cleared when they receive a complete answer.
 *
 * <p>The sender of a request calls {@link #verdict}, then {@link #begin} before sending and {@link
 * #end} afterwards, {@link #lost} if the endpoint turns out to have crashed after the connection
 * broke, and {@link #answered} after a complete answer. Requests with an empty fingerprint are
 * ignored. All {@code now} parameters are monotonic times in nanoseconds. Thread-safe.
 */
public final class CrashSuspicion {
  /**
   * Time within which other instances report the requests that they had in flight at a lost
   * endpoint.
   */
  private static final long REPORT_NANOS = 300_000_000L;

  /**
   * Time for which a request still counts as in flight at an endpoint after its connection broke.
   */
  private static final long BROKEN_NANOS = 2_000_000_000L;

  private static final long SUSPECTED_NANOS = 600_000_000_000L;
  private static final Duration QUARANTINE = Duration.ofHours(1);
  private static final int MOST_LOST = 1_000;

  /**
   * Reports on the same address that are further apart than this refer to two losses: the endpoint
   * has restarted in between.
   */
  private static final long SAME_LOSS_NANOS = 3_000_000_000L;

  private record Broken(String fingerprint, long nanos) {}

  private final InstantSource wallClock;
  private final Map<String, List<Placement>> inFlight = new HashMap<>();
  private final Map<String, List<Broken>> broken = new HashMap<>();
  private final Deque<LostEndpoint> lost = new ArrayDeque<>();
  private final Map<String, Instant> quarantines = new HashMap<>();
  private final Set<String> unpublished = new HashSet<>();

  /**
   * Creates a detector without suspects or quarantines. The clock is used for the deadlines of
   * quarantines.
   */
  public CrashSuspicion(InstantSource wallClock) {
    this.wallClock = wallClock;
  }

  // -----------------------------------------------------------------------

  /**
   * Returns whether a request with the fingerprint may be sent. This call itself quarantines the
   * fingerprint if the conditions are met.
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
    int count = 0;
    LostEndpoint proof = null;
    for (LostEndpoint endpoint : lost) {
      if (now - endpoint.nanos() < SUSPECTED_NANOS
          && endpoint.fingerprints().contains(fingerprint)) {
        count++;
        proof = endpoint.isOnlySuspect(fingerprint) ? endpoint : proof;
      }
    }
    if (count < 2 || proof == null) {
      return count == 0 ? CrashVerdict.CLEAR : CrashVerdict.SUSPECT;
    }
    if (now - proof.nanos() < REPORT_NANOS) {
      return CrashVerdict.HELD;
    }
    quarantines.put(fingerprint, wallClock.instant().plus(QUARANTINE));
    unpublished.add(fingerprint);
    return CrashVerdict.QUARANTINED;
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
   * @return false if the request must not be sent to this endpoint, because it is a suspect and
   *     another suspect is running there, or because it is held back or quarantined; in this case
   *     {@link #end} must not be called
   */
  public synchronized boolean begin(Placement placement, long now) {
    String fingerprint = placement.request().fingerprint();
    if (fingerprint.isEmpty()) {
      return true;
    }
    CrashVerdict verdict = verdict(fingerprint, now);
    List<Placement> placed = inFlight.computeIfAbsent(key(placement), key -> new ArrayList<>());
    boolean allowed =
        verdict == CrashVerdict.CLEAR
            || (verdict == CrashVerdict.SUSPECT
                && placed.stream()
                    .noneMatch(other -> isSuspect(other.request().fingerprint(), now)));
    if (allowed) {
      placed.add(placement);
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
    List<Placement> placed = inFlight.get(key(placement));
    if (fingerprint.isEmpty() || placed == null) {
      return;
    }
    // Equal placements are interchangeable, so that any one of them may be removed.
    placed.remove(placement);
    if (placed.isEmpty()) {
      inFlight.remove(key(placement));
    }
    if (connectionBroke) {
      broken
          .computeIfAbsent(key(placement), key -> new ArrayList<>())
          .add(new Broken(fingerprint, now));
    }
    broken.values().forEach(list -> list.removeIf(old -> now - old.nanos() >= BROKEN_NANOS));
    broken.values().removeIf(List::isEmpty);
  }

  /** Clears a fingerprint of suspicion after a complete answer. */
  public synchronized void answered(String fingerprint) {
    if (!lost.isEmpty()) {
      lost.forEach(endpoint -> endpoint.fingerprints().remove(fingerprint));
    }
  }

  // -----------------------------------------------------------------------

  /**
   * Records that the endpoint of a request whose connection broke has crashed.
   *
   * @return the fingerprints of all requests that this instance had in flight there, to be reported
   *     to the other instances
   */
  public synchronized List<String> lost(Placement placement, long now) {
    Set<String> there = new HashSet<>();
    inFlight
        .getOrDefault(key(placement), List.of())
        .forEach(other -> there.add(other.request().fingerprint()));
    broken.getOrDefault(key(placement), List.of()).stream()
        .filter(other -> now - other.nanos() < BROKEN_NANOS)
        .forEach(other -> there.add(other.fingerprint()));
    there.add(placement.request().fingerprint());
    there.remove("");
    lostAt(placement.endpoint(), placement.address().toString(), there, now);
    return List.copyOf(there);
  }

  /**
   * Records that an endpoint was lost with the given requests in flight, as seen by this or another
   * instance. Reports on the same loss are merged.
   */
  public synchronized void lostAt(
      String endpoint, String address, Iterable<String> fingerprints, long now) {
    lost.removeIf(old -> now - old.nanos() >= SUSPECTED_NANOS);
    String key = endpoint + "@" + address;
    LostEndpoint known = null;
    for (LostEndpoint other : lost) {
      boolean same = other.key().equals(key) && now - other.nanos() < SAME_LOSS_NANOS;
      known = same ? other : known;
    }
    Map<String, Boolean> prior = new HashMap<>();
    for (String fingerprint : fingerprints) {
      prior.put(fingerprint, isSuspectBeside(fingerprint, known));
    }
    if (known == null) {
      known = new LostEndpoint(key, now);
      lost.addLast(known);
      if (lost.size() > MOST_LOST) {
        lost.removeFirst();
      }
    }
    prior.forEach(known::add);
  }

  /**
   * Quarantines a fingerprint on behalf of another instance or the store. Of two deadlines the
   * later one applies.
   */
  public synchronized void quarantine(String fingerprint, Instant deadline) {
    quarantines.merge(fingerprint, deadline, (held, told) -> told.isAfter(held) ? told : held);
  }

  /** Lifts a quarantine and clears the fingerprint of suspicion. */
  public synchronized void lift(String fingerprint) {
    quarantines.remove(fingerprint);
    unpublished.remove(fingerprint);
    answered(fingerprint);
  }

  /**
   * Returns the quarantines that this instance has set since the last call, with their deadlines by
   * fingerprint.
   */
  public synchronized Map<String, Instant> takeUnpublished() {
    Map<String, Instant> taken = new HashMap<>();
    unpublished.forEach(name -> taken.put(name, quarantines.get(name)));
    taken.values().removeIf(deadline -> deadline == null);
    unpublished.clear();
    return taken;
  }

  // -----------------------------------------------------------------------

  private boolean isSuspect(String fingerprint, long now) {
    return lost.stream()
        .anyMatch(
            endpoint ->
                now - endpoint.nanos() < SUSPECTED_NANOS
                    && endpoint.fingerprints().contains(fingerprint));
  }

  private boolean isSuspectBeside(String fingerprint, LostEndpoint except) {
    return lost.stream()
        .anyMatch(endpoint -> endpoint != except && endpoint.fingerprints().contains(fingerprint));
  }

  private static String key(Placement placement) {
    return placement.endpoint() + "@" + placement.address();
  }
}
