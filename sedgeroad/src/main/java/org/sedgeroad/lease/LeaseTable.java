package org.sedgeroad.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.locks.ReentrantLock;

/**
 * This instance's lease and what is known of the others' leases.
 *
 * <p>No wall clock is trusted. The holder counts its lease from before it sent a renewal. Others
 * count the full length on their own monotonic clock, from the end of the reading that first showed
 * a counter to the start of the last reading that still showed it. A lease decides who may work;
 * the version of the object worked on decides whose result counts.
 *
 * <p>A holder is named {@code DOMAIN/INSTANCE#RUN}, so that its failure domain, and with it the
 * object that has its counter, is known from its name. Thread-safe.
 */
public final class LeaseTable {
  /** Counter of a holder that has given its lease up on a planned stop. */
  public static final long LEFT = -1;

  private static final long ABSENT = -2;

  /** A holder that nobody has asked about for this many lease lengths is no longer followed. */
  private static final int ASKED_LENGTHS = 10;

  private final ReentrantLock lock = new ReentrantLock();
  private final Map<String, Sighting> sightings = new HashMap<>();
  private final Map<String, Long> askedAtNanos = new HashMap<>();
  private final long lengthNanos;
  private long validUntilNanos;
  private boolean held;

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

  /** Returns the failure domain in the name of a holder, empty if it names none. */
  public static String domainOf(String holder) {
    return holder.substring(0, Math.max(0, holder.indexOf('/')));
  }

  // -----------------------------------------------------------------------

  /** Records that a renewal, sent at the given time, took effect. */
  public void renewed(long sentAtNanos) {
    lock.lock();
    try {
      long until = sentAtNanos + lengthNanos;
      validUntilNanos = held && validUntilNanos - until > 0 ? validUntilNanos : until;
      held = true;
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
   * Records a successful reading of the counters of a failure domain.
   *
   * @param domain failure domain that was read
   * @param counters counter of each of its holders
   * @param sentAtNanos monotonic time before the reading was sent
   * @param receivedAtNanos monotonic time after its answer came
   */
  public void observe(
      String domain, Map<String, Long> counters, long sentAtNanos, long receivedAtNanos) {
    lock.lock();
    try {
      askedAtNanos
          .values()
          .removeIf(asked -> receivedAtNanos - asked > ASKED_LENGTHS * lengthNanos);
      sightings
          .keySet()
          .removeIf(
              holder ->
                  domainOf(holder).equals(domain)
                      && !counters.containsKey(holder)
                      && !askedAtNanos.containsKey(holder));
      counters.forEach((holder, counter) -> see(holder, counter, sentAtNanos, receivedAtNanos));
      for (String holder : askedAtNanos.keySet()) {
        if (domainOf(holder).equals(domain) && !counters.containsKey(holder)) {
          see(holder, ABSENT, sentAtNanos, receivedAtNanos);
        }
      }
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns whether a holder's lease must have expired, and follows the holder from now on. A
   * holder that has not been seen, or is not in the object of its failure domain, gets the full
   * length from the first reading that shows this.
   */
  public boolean isExpired(String holder, long nowNanos) {
    lock.lock();
    try {
      askedAtNanos.put(holder, nowNanos);
      Sighting sighting = sightings.get(holder);
      return sighting != null
          && (sighting.counter() == LEFT
              || sighting.lastSeenNanos() - sighting.firstSeenNanos() >= lengthNanos);
    } finally {
      lock.unlock();
    }
  }

  /** Returns the failure domains of the holders that were asked about recently, in name order. */
  public Set<String> domainsToRead(long nowNanos) {
    lock.lock();
    try {
      Set<String> domains = new TreeSet<>();
      askedAtNanos.forEach(
          (holder, asked) -> {
            if (nowNanos - asked <= ASKED_LENGTHS * lengthNanos) {
              domains.add(domainOf(holder));
            }
          });
      return domains;
    } finally {
      lock.unlock();
    }
  }

  private void see(String holder, long counter, long sentAtNanos, long receivedAtNanos) {
    sightings.merge(
        holder,
        new Sighting(counter, receivedAtNanos, sentAtNanos),
        (old, seen) -> old.counter() == counter ? old.withLastSeen(sentAtNanos) : seen);
  }

  /** A counter with the end of its first reading and the start of its last one. */
  private record Sighting(long counter, long firstSeenNanos, long lastSeenNanos) {
    Sighting withLastSeen(long nanos) {
      return new Sighting(counter, firstSeenNanos, Math.max(nanos, lastSeenNanos));
    }
  }
}
