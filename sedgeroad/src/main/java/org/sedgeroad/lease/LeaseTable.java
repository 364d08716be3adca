package org.sedgeroad.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Lease of this instance and observed leases of the other instances.
 *
 * <p>Each renewal increases a counter in the holder's stored lease.
 *
 * <p>Wall clocks are not used. The holder counts its lease from the time before it sent a renewal.
 * The others count the full duration on their own monotonic clocks, from the first read of a
 * counter to their last successful read. The lease determines who may work; the version of the
 * object that is worked on determines whose result is stored. Thread-safe.
 */
public final class LeaseTable {
  private static final long NEVER_SEEN = -1;
  private static final long REMOVED = -2;

  /**
   * Time for which removed holders are kept, in durations of a lease; limited so that memory does
   * not grow with restarts.
   */
  private static final int REMOVED_RETENTION_LEASES = 10;

  private final ReentrantLock lock = new ReentrantLock();
  private final Map<String, Observation> observations = new HashMap<>();
  private final Set<String> reportedExpired = new HashSet<>();
  private final long lengthNanos;
  private long validUntilNanos;
  private boolean held;
  private long expiryCount;

  private LeaseTable(long lengthNanos) {
    this.lengthNanos = lengthNanos;
  }

  /**
   * Returns a table without any lease.
   *
   * @param lengthMillis duration of every lease in milliseconds, at least 1
   */
  public static LeaseTable ofMillis(long lengthMillis) {
    return new LeaseTable(lengthMillis * 1_000_000L);
  }

  /**
   * Records that a renewal, sent at the given time, took effect. A renewal sent after the end of
   * the lease starts a new lease; work held under the old one may have been taken over.
   */
  public void renewed(long sentAtNanos) {
    renewed(sentAtNanos, sentAtNanos);
  }

  /**
   * Records that a renewal took effect. If its answer arrived after the end of the lease, a new
   * lease starts, since the renewal may have taken effect only after that end.
   *
   * @param sentAtNanos monotonic time before the renewal was sent
   * @param answeredAtNanos monotonic time after its answer arrived
   */
  public void renewed(long sentAtNanos, long answeredAtNanos) {
    lock.lock();
    try {
      if (held && answeredAtNanos - validUntilNanos >= 0) {
        expiryCount++;
      }
      long until = sentAtNanos + lengthNanos;
      validUntilNanos = held && validUntilNanos - until > 0 ? validUntilNanos : until;
      held = true;
    } finally {
      lock.unlock();
    }
  }

  /** Returns how often the lease of this instance has expired and was started again. */
  public long expiryCount() {
    lock.lock();
    try {
      return expiryCount;
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether the lease of this instance is valid. */
  public boolean isHeld(long nowNanos) {
    lock.lock();
    try {
      return held && nowNanos - validUntilNanos < 0;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Records a successful read of the counters of a failure domain. A counter read for the first
   * time may have been written during the read, so its lease is counted from the answer.
   *
   * @param counters counter of each holder
   * @param readAtNanos monotonic time before the read was sent
   * @param answeredAtNanos monotonic time after its answer arrived
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
                    reportedExpired.remove(holder);
                    return seen;
                  }));
    } finally {
      lock.unlock();
    }
  }

  /**
   * Records a successful read of the counters of all failure domains. A holder that is in none of
   * them has been removed, since it writes its counter before it starts any work. Holders are
   * removed only after their lease has expired or was released.
   *
   * @param counters counter of each holder
   * @param readAtNanos monotonic time before the read was sent
   * @param answeredAtNanos monotonic time after its answer arrived
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
              counters.containsKey(holder)
                      || old.counter() == REMOVED
                      || !old.wasLastSeenBefore(readAtNanos)
                  ? old
                  : old.asRemoved());
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns whether a holder's lease must have expired. Only successful reads can show this: no
   * lease is considered expired while the lease objects can't be read. For a holder that has not
   * been observed yet, the call starts the observation, so that {@link #observeAll} can find that
   * it has been removed.
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
      reportedExpired.removeIf(
          holder -> !observations.containsKey(holder) || !isExpired(holder, nowNanos));
      Set<String> expired = new TreeSet<>();
      for (String holder : observations.keySet()) {
        if (!reportedExpired.contains(holder) && isExpired(holder, nowNanos)) {
          expired.add(holder);
        }
      }
      reportedExpired.addAll(expired);
      return expired;
    } finally {
      lock.unlock();
    }
  }

  /** Counter with the monotonic times of its first and last read. */
  private record Observation(long counter, long firstSeenNanos, long lastSeenNanos) {
    boolean wasLastSeenBefore(long nanos) {
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
