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
 * Finds requests that crash endpoints, by fingerprint.
 *
 * <p>All requests in flight at a lost endpoint become suspects. A suspect runs without another
 * suspect beside it, so that a second loss points to one of them. A fingerprint is quarantined
 * after two lost endpoints, if it was the only suspect at one of them; requests that merely were
 * beside it are cleared by an answer.
 *
 * <p>Whoever sends a request asks {@link #verdict}, then calls {@link #begin} before the sending
 * and {@link #end} after it, {@link #lost} if the endpoint is found dead after a broken answer, and
 * {@link #answered} after a whole answer. Requests with an empty fingerprint are ignored.
 * Thread-safe; times are monotonic readings in nanoseconds.
 */
public final class CrashSuspicion {
  /** Other instances report what they had at a lost endpoint within this time. */
  private static final long REPORT_NANOS = 300_000_000L;

  /** A broken request still counts as in flight at an endpoint for this time. */
  private static final long BROKEN_NANOS = 2_000_000_000L;

  private static final long SUSPECTED_NANOS = 600_000_000_000L;
  private static final Duration QUARANTINE = Duration.ofHours(1);
  private static final int MOST_LOST = 1_000;

  /** A second loss at the same address after this time is that of a restarted endpoint. */
  private static final long SAME_LOSS_NANOS = 3_000_000_000L;

  private record Broken(String fingerprint, long nanos) {}

  private final InstantSource wallClock;
  private final Map<String, List<Placement>> inFlight = new HashMap<>();
  private final Map<String, List<Broken>> broken = new HashMap<>();
  private final Deque<LostEndpoint> lost = new ArrayDeque<>();
  private final Map<String, Instant> quarantines = new HashMap<>();
  private final Set<String> unpublished = new HashSet<>();

  /** Creates an object that suspects nothing; the clock serves the deadlines of quarantines. */
  public CrashSuspicion(InstantSource wallClock) {
    this.wallClock = wallClock;
  }

  // -----------------------------------------------------------------------

  /** Returns what is known of a fingerprint. */
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

  /** Returns the endpoints at which a suspect is running, where no other one may be sent. */
  public synchronized Set<String> endpointsWithSuspects(long now) {
    Set<String> names = new HashSet<>();
    inFlight.values().stream()
        .flatMap(List::stream)
        .filter(placement -> isSuspect(placement.request().fingerprint(), now))
        .forEach(placement -> names.add(placement.endpoint()));
    return names;
  }

  /**
   * Notes that a request will be sent.
   *
   * @return false if it must not be sent there, because it is a suspect and another one is there,
   *     or because it is held or quarantined; then {@link #end} must not be called
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
   * Notes that a sending ended.
   *
   * @param connectionBroke whether it ended because the connection broke
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

  /** Clears a fingerprint after a whole answer. */
  public synchronized void answered(String fingerprint) {
    if (!lost.isEmpty()) {
      lost.forEach(endpoint -> endpoint.fingerprints().remove(fingerprint));
    }
  }

  // -----------------------------------------------------------------------

  /**
   * Notes that the endpoint of a broken request is dead.
   *
   * @return the fingerprints of all requests that this instance had there, for the other instances
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

  /** Takes another instance's report on the requests that it had at a lost endpoint. */
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

  /** Quarantines a fingerprint, as another instance or the store says. */
  public synchronized void quarantine(String fingerprint, Instant deadline) {
    quarantines.merge(fingerprint, deadline, (held, told) -> told.isAfter(held) ? told : held);
  }

  /** Lifts a quarantine and forgets what was held against the fingerprint. */
  public synchronized void lift(String fingerprint) {
    quarantines.remove(fingerprint);
    unpublished.remove(fingerprint);
    answered(fingerprint);
  }

  /** Returns the quarantines that were set here since the last call, with their deadlines. */
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
