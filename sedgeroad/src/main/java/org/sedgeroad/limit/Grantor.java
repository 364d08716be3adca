package org.sedgeroad.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sedgeroad.peer.Grant;
import org.sedgeroad.peer.GrantRequest;

/**
 * Gives sub-grants of the members whose token buckets this instance owns. Thread-safe.
 *
 * <p>A sub-grant holds exactly the units requested. A bucket holds at most the units of one second,
 * or those of a larger request that it has refused before.
 */
public final class Grantor {
  private static final long NOT_OWNER_RETRY_MILLIS = 200;
  private static final long MAX_WANTED = 60_000_000_000L;

  private final ReentrantLock lock = new ReentrantLock();
  private final Map<BucketKey, Bucket> buckets = new HashMap<>();
  private final OwnerView owners;
  private final Function<String, Optional<MemberLimits>> limits;
  private final Function<String, MemberShares> shares;
  private final Supplier<Map<String, DomainRecord>> records;
  private final DomainAllowance allowance;

  /**
   * Creates a grantor without any bucket.
   *
   * @param owners determines the owner of a member's token buckets
   * @param limits limits of a member, empty if it has none
   * @param shares fractions of a member's limits
   * @param records last read records of the failure domains; while they are older than the duration
   *     of a lease, {@code owners} must not return a scope with the share
   * @param allowance calculator for this failure domain
   */
  public Grantor(
      OwnerView owners,
      Function<String, Optional<MemberLimits>> limits,
      Function<String, MemberShares> shares,
      Supplier<Map<String, DomainRecord>> records,
      DomainAllowance allowance) {
    this.owners = owners;
    this.limits = limits;
    this.shares = shares;
    this.records = records;
    this.allowance = allowance;
  }

  /** Answers a request for a sub-grant; grants all units wanted or none. */
  public Grant grant(GrantRequest request, long nowNanos) {
    Optional<LimitKind> kind = LimitKind.find(request.limit()).filter(LimitKind::isRate);
    Optional<MemberLimits> found = limits.apply(request.member());
    if (kind.isEmpty() || found.isEmpty() || !isValid(request)) {
      return refusal(request, NOT_OWNER_RETRY_MILLIS, 0);
    }
    GrantScope scope = owners.grantScope(request.member(), nowNanos);
    if (scope == GrantScope.NONE) {
      return refusal(request, NOT_OWNER_RETRY_MILLIS, found.get().version());
    }
    OptionalLong rate =
        allowance.microRate(
            found.get(), kind.get(), shares.apply(request.member()), scope, records.get());
    if (rate.isEmpty()) {
      return refusal(request, NOT_OWNER_RETRY_MILLIS, found.get().version());
    }
    return take(request, kind.get(), found.get().version(), rate.getAsLong(), nowNanos);
  }

  /**
   * Returns the demand for each member that has a bucket here and whose owner is this instance, and
   * restarts its measurement.
   */
  public Map<String, Demand> takeDemands(long nowNanos) {
    lock.lock();
    try {
      Map<String, Demand> demands = new TreeMap<>();
      buckets.forEach(
          (key, held) -> {
            if (mayGrant(key.member(), nowNanos)) {
              demands.merge(key.member(), held.bucket().takeDemand(nowNanos), Demand::or);
            }
          });
      return demands;
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether this instance owns the token buckets of a member and may grant. */
  public boolean mayGrant(String member, long nowNanos) {
    return owners.grantScope(member, nowNanos) != GrantScope.NONE;
  }

  /** Returns the number of buckets held, including those whose owner is now another instance. */
  public int size() {
    lock.lock();
    try {
      return buckets.size();
    } finally {
      lock.unlock();
    }
  }

  private Grant take(
      GrantRequest request, LimitKind kind, long version, long microRate, long nowNanos) {
    lock.lock();
    try {
      long generation = owners.generation();
      Bucket held =
          buckets.compute(
              new BucketKey(request.member(), kind),
              (key, old) ->
                  old != null && old.generation() == generation
                      ? old
                      : new Bucket(generation, TokenBucket.emptyAt(nowNanos)));
      if (held.bucket().tryTake(request.wanted(), microRate, nowNanos)) {
        return new Grant(
            request.member(),
            request.limit(),
            request.wanted(),
            OwnerRoster.GRANT_MILLIS,
            0,
            version);
      }
      return refusal(request, held.bucket().millisUntil(request.wanted(), microRate), version);
    } finally {
      lock.unlock();
    }
  }

  private static boolean isValid(GrantRequest request) {
    return request.wanted() >= 1 && request.wanted() <= MAX_WANTED;
  }

  private static Grant refusal(GrantRequest request, long retryMillis, long version) {
    return new Grant(request.member(), request.limit(), 0, 0, retryMillis, version);
  }

  private record BucketKey(String member, LimitKind kind) {}

  private record Bucket(long generation, TokenBucket bucket) {}
}
