package org.sedgeroad.limit;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.ReentrantLock;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.peer.Grant;

/**
 * Units of one member's rate that this instance was granted and has not used.
 *
 * <p>At most one request to the home is under way; requests that find too few units wait for it.
 * Thread-safe; no lock is held while waiting.
 */
final class LocalBalance {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long RECENT_NANOS = 250 * NANOS_PER_MILLI;
  private static final long UNREACHABLE_RETRY_MILLIS = 100;

  private final ReentrantLock lock = new ReentrantLock();
  private final String member;
  private final LimitKind kind;
  private final GrantAsker asker;
  private final MonotonicClock clock;
  private long units;
  private long validUntilNanos;
  private long usedSinceNanos;
  private long usedUnits;
  private long extraUnits;
  private long emptyUntilNanos;
  private boolean empty;
  private CompletableFuture<Void> inFlight;

  LocalBalance(String member, LimitKind kind, GrantAsker asker, MonotonicClock clock) {
    this.member = member;
    this.kind = kind;
    this.asker = asker;
    this.clock = clock;
    this.usedSinceNanos = clock.nanos();
    this.validUntilNanos = usedSinceNanos;
  }

  /** Takes units, asking the home for more if there are too few. */
  Take take(long wanted, long deadlineNanos) {
    while (true) {
      CompletableFuture<Void> pending;
      lock.lock();
      try {
        long now = clock.nanos();
        if (tryTake(wanted, now)) {
          return new Take(true, 0, validUntilNanos);
        }
        boolean refused = inFlight == null && empty && now - emptyUntilNanos < 0;
        if (refused || clock.hasPassed(deadlineNanos)) {
          return new Take(false, retryMillis(now), 0);
        }
        pending = inFlight == null ? ask(wanted, now, deadlineNanos) : inFlight;
      } finally {
        lock.unlock();
      }
      if (!await(pending, deadlineNanos)) {
        return new Take(false, UNREACHABLE_RETRY_MILLIS, 0);
      }
    }
  }

  /** Returns units that were taken but not used; they stay valid no longer than they were. */
  void giveBack(long unused, Take take) {
    lock.lock();
    try {
      if (clock.nanos() - take.validUntilNanos() < 0) {
        add(unused, take.validUntilNanos(), clock.nanos());
      }
    } finally {
      lock.unlock();
    }
  }

  // -----------------------------------------------------------------------

  private boolean tryTake(long wanted, long now) {
    if (now - validUntilNanos >= 0) {
      units = 0;
    }
    if (units < wanted) {
      return false;
    }
    units -= wanted;
    if (now - usedSinceNanos >= RECENT_NANOS) {
      usedSinceNanos = now;
      extraUnits = usedUnits;
      usedUnits = 0;
    }
    usedUnits += wanted;
    return true;
  }

  private CompletableFuture<Void> ask(long needed, long now, long deadlineNanos) {
    // What was used in a recent quarter of a second is asked for in advance; when the home refuses
    // that, only what is needed is asked for.
    long extra = now - usedSinceNanos < 2 * RECENT_NANOS ? extraUnits : 0;
    long wanted = needed + extra;
    CompletableFuture<Void> done = new CompletableFuture<>();
    inFlight = done;
    asker
        .ask(member, kind, wanted, deadlineNanos)
        .whenComplete(
            (grant, failure) -> {
              lock.lock();
              try {
                inFlight = null;
                if (failure == null) {
                  received(grant, now, extra);
                } else {
                  refuse(UNREACHABLE_RETRY_MILLIS);
                }
              } finally {
                lock.unlock();
              }
              done.complete(null);
            });
    return done;
  }

  private void received(Grant grant, long askedAtNanos, long extra) {
    if (grant.granted() > 0) {
      add(grant.granted(), askedAtNanos + grant.validMillis() * NANOS_PER_MILLI, clock.nanos());
      empty = false;
    } else if (extra > 0) {
      extraUnits = 0;
    } else {
      refuse(Math.max(1, grant.retryMillis()));
    }
  }

  private void refuse(long retryMillis) {
    empty = true;
    emptyUntilNanos = clock.nanos() + retryMillis * NANOS_PER_MILLI;
  }

  /** Adds units; those of several grants are valid until the earliest of their ends. */
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
    return empty && now - emptyUntilNanos < 0
        ? (emptyUntilNanos - now) / NANOS_PER_MILLI + 1
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
   * Outcome of taking units.
   *
   * @param taken whether they were taken
   * @param retryMillis time after which to try again, in milliseconds
   * @param validUntilNanos end of the grant that they came from
   */
  record Take(boolean taken, long retryMillis, long validUntilNanos) {}
}
