package org.sedgeroad.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.locks.ReentrantLock;

/**
 * This instance's lease and what is known of the others' leases.
 *
 * <p>No wall clock is trusted. The holder counts its lease from before it sent a renewal; others
 * count the full length on their own monotonic clock from when they first saw a counter, and only
 * up to their last successful reading. A lease decides who may work; the version of the object
 * worked on decides whose result counts. Thread-safe.
 */
public final class LeaseTable {
  private static final long NEVER_SEEN = -1;
  private static final long REMOVED = -2;

  /** Removed holders are remembered this long, so that memory does not grow with restarts. */
  private static final int REMOVED_RETENTION_LEASES = 10;

  private final ReentrantLock lock = new ReentrantLock();
  private final Map<String, Observation> observations = new HashMap<>();
  private final Set<String> reported = new HashSet<>();
  private final long lengthNanos;
  private long validUntilNanos;
  private boolean held;
  private long lapses;

  private LeaseTable(long lengthNanos) {
    this.lengthNanos = lengthNanos;
  }

  /**
   * Returns a table without any lease.
   *
   * @param lengthMillis length of every lease in milliseconds, at least 1
   */
  public static LeaseTable ofMillis(long lengthMillis) {
    return new LeaseTable(lengthMillis * 1_000_000L);
  }

  // -----------------------------------------------------------------------

  /**
   * Records that a renewal, sent at the given time, took effect. A renewal sent after the end of
   * the lease starts a new lease; what was held under the old one may have been taken over.
   */
  public void renewed(long sentAtNanos) {
    renewed(sentAtNanos, sentAtNanos);
  }

  /**
   * Records that a renewal took effect. If its answer came after the end of the lease, a new lease
   * starts, since the renewal may also have taken effect only then.
   *
   * @param sentAtNanos monotonic time before the renewal was sent
   * @param answeredAtNanos monotonic time after its answer came
   */
  public void renewed(long sentAtNanos, long answeredAtNanos) {
    lock.lock();
    try {
      if (held && answeredAtNanos - validUntilNanos >= 0) {
        lapses++;
      }
      long until = sentAtNanos + lengthNanos;
      validUntilNanos = held && validUntilNanos - until > 0 ? validUntilNanos : until;
      held = true;
    } finally {
      lock.unlock();
    }
  }

  /** Returns how often this instance's lease has ended and begun again. */
  public long lapses() {
    lock.lock();
    try {
      return lapses;
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether this instance's lease is valid. */
  public boolean isHeld(long nowNanos) {
    lock.lock();
    try {
      return held && nowNanos - validUntilNanos < 0;
    } finally {
      lock.unlock();
    }
  }

  // -----------------------------------------------------------------------

  /**
   * Records a successful reading of the counters of a failure domain. A counter seen for the first
   * time may have been written while the reading was under way, so its lease is counted from the
   * answer.
   *
   * @param counters counter of each holder
   * @param readAtNanos monotonic time before the reading was sent
   * @param answeredAtNanos monotonic time after its answer came
   */
  public void observe(Map<String, Long> counters, long readAtNanos, long answeredAtNanos) {
    lock.lock();
    try {
      counters.forEach(
          (holder, counter) ->
              observations.merge(
                  holder,
                  new Observation(counter, answeredAtNanos, answeredAtNanos),
                  (old, seen) -> {
                    if (old.counter() == counter) {
                      return old.withLastSeen(readAtNanos);
                    }
                    reported.remove(holder);
                    return seen;
                  }));
    } finally {
      lock.unlock();
    }
  }

  /**
   * Records a successful reading of the counters of all failure domains. A holder that is in none
   * of them has been removed, which happens only after its lease expired or ended: a holder writes
   * its counter before it starts any work.
   *
   * @param counters counter of each holder
   * @param readAtNanos monotonic time before the reading was sent
   * @param answeredAtNanos monotonic time after its answer came
   */
  public void observeAll(Map<String, Long> counters, long readAtNanos, long answeredAtNanos) {
    lock.lock();
    try {
      observe(counters, readAtNanos, answeredAtNanos);
      observations
          .values()
          .removeIf(
              old ->
                  old.counter() == REMOVED
                      && readAtNanos - old.lastSeenNanos()
                          > REMOVED_RETENTION_LEASES * lengthNanos);
      observations.replaceAll(
          (holder, old) ->
              counters.containsKey(holder) || old.counter() == REMOVED || !old.isBefore(readAtNanos)
                  ? old
                  : old.asRemoved());
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns whether a holder's lease must have expired. Only readings show this: nobody is declared
   * expired while the lease objects can't be read.
   */
  public boolean isExpired(String holder, long nowNanos) {
    lock.lock();
    try {
      Observation observation =
          observations.computeIfAbsent(
              holder, key -> new Observation(NEVER_SEEN, nowNanos, nowNanos));
      return observation.counter() == REMOVED
          || (observation.counter() != NEVER_SEEN
              && observation.lastSeenNanos() - observation.firstSeenNanos() >= lengthNanos);
    } finally {
      lock.unlock();
    }
  }

  /** Returns the holders whose lease has expired since the last call, in name order. */
  public Set<String> takeExpired(long nowNanos) {
    lock.lock();
    try {
      reported.removeIf(
          holder -> !observations.containsKey(holder) || !isExpired(holder, nowNanos));
      Set<String> expired = new TreeSet<>();
      for (String holder : observations.keySet()) {
        if (!reported.contains(holder) && isExpired(holder, nowNanos)) {
          expired.add(holder);
        }
      }
      reported.addAll(expired);
      return expired;
    } finally {
      lock.unlock();
    }
  }

  /** A counter with the times of its first and last reading. */
  private record Observation(long counter, long firstSeenNanos, long lastSeenNanos) {
    boolean isBefore(long nanos) {
      return lastSeenNanos - nanos < 0;
    }

    Observation asRemoved() {
      return new Observation(REMOVED, firstSeenNanos, lastSeenNanos);
    }

    Observation withLastSeen(long nanos) {
      boolean later = nanos - lastSeenNanos > 0;
      return new Observation(counter, firstSeenNanos, later ? nanos : lastSeenNanos);
    }
  }
}
