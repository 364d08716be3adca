package org.sedgeroad.limit;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.ReentrantLock;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.peer.Grant;

/**
 * Units of one member's rate that this instance was granted and has not used yet.
 *
 * <p>At most one request to the owner is in flight; callers that find too few units wait for it.
 * Thread-safe; no lock is held while waiting.
 */
final class LocalBalance {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long USAGE_WINDOW_NANOS = 250 * NANOS_PER_MILLI;
  private static final long UNREACHABLE_RETRY_MILLIS = 100;

  private final ReentrantLock lock = new ReentrantLock();
  private final String member;
  private final LimitKind kind;
  private final GrantRequester requester;
  private final MonotonicClock clock;
  private long units;
  private long validUntilNanos;
  private long windowStartNanos;
  private long windowUnits;
  private long prefetchUnits;
  private long backOffUntilNanos;
  private boolean backingOff;
  private CompletableFuture<Void> inFlight;

  LocalBalance(String member, LimitKind kind, GrantRequester requester, MonotonicClock clock) {
    this.member = member;
    this.kind = kind;
    this.requester = requester;
    this.clock = clock;
    this.windowStartNanos = clock.nanos();
    this.validUntilNanos = windowStartNanos;
  }

  /** Takes units, requesting more from the owner if there are too few. */
  TakeResult take(long wanted, long deadlineNanos) {
    while (true) {
      CompletableFuture<Void> pending;
      lock.lock();
      try {
        long now = clock.nanos();
        if (tryTake(wanted, now)) {
          return new TakeResult(true, 0, validUntilNanos);
        }
        boolean mustWait = inFlight == null && backingOff && now - backOffUntilNanos < 0;
        if (mustWait || clock.hasPassed(deadlineNanos)) {
          return new TakeResult(false, retryMillis(now), 0);
        }
        pending = inFlight == null ? requestGrant(wanted, now, deadlineNanos) : inFlight;
      } finally {
        lock.unlock();
      }
      if (!await(pending, deadlineNanos)) {
        return new TakeResult(false, UNREACHABLE_RETRY_MILLIS, 0);
      }
    }
  }

  /** Puts back units that were taken but not used; their validity is not extended. */
  void giveBack(long unused, TakeResult taken) {
    lock.lock();
    try {
      if (clock.nanos() - taken.validUntilNanos() < 0) {
        add(unused, taken.validUntilNanos(), clock.nanos());
      }
    } finally {
      lock.unlock();
    }
  }

  private boolean tryTake(long wanted, long now) {
    if (now - validUntilNanos >= 0) {
      units = 0;
    }
    if (units < wanted) {
      return false;
    }
    units -= wanted;
    if (now - windowStartNanos >= USAGE_WINDOW_NANOS) {
      windowStartNanos = now;
      prefetchUnits = windowUnits;
      windowUnits = 0;
    }
    windowUnits += wanted;
    return true;
  }

  private CompletableFuture<Void> requestGrant(long needed, long now, long deadlineNanos) {
    // Requests the units used in a recent quarter of a second in advance. If the owner refuses
    // them, the next request is only for the units needed.
    long prefetched = now - windowStartNanos < 2 * USAGE_WINDOW_NANOS ? prefetchUnits : 0;
    long wanted = needed + prefetched;
    CompletableFuture<Void> done = new CompletableFuture<>();
    inFlight = done;
    requester
        .request(member, kind, wanted, deadlineNanos)
        .whenComplete(
            (grant, failure) -> {
              lock.lock();
              try {
                inFlight = null;
                if (failure == null) {
                  grantReceived(grant, now, prefetched);
                } else {
                  backOff(UNREACHABLE_RETRY_MILLIS);
                }
              } finally {
                lock.unlock();
              }
              done.complete(null);
            });
    return done;
  }

  private void grantReceived(Grant grant, long requestedAtNanos, long prefetched) {
    if (grant.granted() > 0) {
      add(grant.granted(), requestedAtNanos + grant.validMillis() * NANOS_PER_MILLI, clock.nanos());
      backingOff = false;
    } else if (prefetched > 0) {
      prefetchUnits = 0;
    } else {
      backOff(Math.max(1, grant.retryMillis()));
    }
  }

  private void backOff(long retryMillis) {
    backingOff = true;
    backOffUntilNanos = clock.nanos() + retryMillis * NANOS_PER_MILLI;
  }

  /** Adds units; units of several grants are valid until the first of these grants expires. */
  private void add(long more, long untilNanos, long now) {
    if (now - untilNanos >= 0) {
      return;
    }
    if (now - validUntilNanos >= 0) {
      units = 0;
    }
    boolean earlier = units > 0 && validUntilNanos - untilNanos < 0;
    validUntilNanos = earlier ? validUntilNanos : untilNanos;
    units += more;
  }

  private long retryMillis(long now) {
    return backingOff && now - backOffUntilNanos < 0
        ? (backOffUntilNanos - now) / NANOS_PER_MILLI + 1
        : UNREACHABLE_RETRY_MILLIS;
  }

  private boolean await(CompletableFuture<Void> pending, long deadlineNanos) {
    try {
      pending.get(Math.max(0, deadlineNanos - clock.nanos()), TimeUnit.NANOSECONDS);
      return true;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    } catch (ExecutionException | TimeoutException late) {
      return false;
    }
  }

  /**
   * Result of taking units.
   *
   * @param taken whether they were taken
   * @param retryMillis milliseconds after which to try again, 0 if the units were taken
   * @param validUntilNanos monotonic time at which the units expire, 0 if they were not taken
   */
  record TakeResult(boolean taken, long retryMillis, long validUntilNanos) {}
}
