package org.sedgeroad.limit;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.peer.Grant;
import org.sedgeroad.peer.GrantRequest;
import org.sedgeroad.peer.PeerNetwork;

/**
 * Admits requests within sub-grants from the owners of the members' token buckets.
 *
 * <p>The limits named {@code default} apply to each member without limits of its own, and are
 * counted separately for each. Without {@code default} limits such a member is unlimited.
 * Thread-safe.
 */
public final class GrantedLimitGate implements LimitGate {
  /** Longest wait for the answer of an owner, in milliseconds. */
  public static final long WAIT_MILLIS = 50;

  private final Map<String, LocalBalance> requests = new ConcurrentHashMap<>();
  private final Map<String, LocalBalance> tokens = new ConcurrentHashMap<>();
  private final Function<String, Optional<MemberLimits>> limits;
  private final GrantRequester requester;
  private final MonotonicClock clock;

  private GrantedLimitGate(
      Function<String, Optional<MemberLimits>> limits,
      GrantRequester requester,
      MonotonicClock clock) {
    this.limits = limits;
    this.requester = requester;
    this.clock = clock;
  }

  /**
   * Returns a gate without any sub-grant.
   *
   * @param self name of this instance
   * @param limits limits of a member, empty if it is unlimited
   * @param owners determines the owner of a member's token buckets
   * @param ownGrantor answers requests for members that this instance owns
   * @param network sends requests to the other owners
   * @param clock monotonic clock
   */
  public static GrantedLimitGate of(
      String self,
      Function<String, Optional<MemberLimits>> limits,
      OwnerView owners,
      Grantor ownGrantor,
      PeerNetwork network,
      MonotonicClock clock) {
    GrantRequester requester =
        (member, kind, wanted, deadline) -> {
          GrantRequest request = new GrantRequest(self, member, kind.toText(), wanted);
          String owner = owners.ownerOf(member);
          if (owner == null) {
            return CompletableFuture.failedFuture(new IllegalStateException("no owner known"));
          }
          return owner.equals(self)
              ? CompletableFuture.completedFuture(ownGrantor.grant(request, clock.nanos()))
              : network.call(owner, request, deadline).thenApply(Grant.class::cast);
        };
    return new GrantedLimitGate(limits, requester, clock);
  }

  @Override
  public Admission admit(String member, ServiceClass serviceClass, long tokenCount) {
    Optional<MemberLimits> found = limits.apply(member);
    if (found.isEmpty()) {
      return new Admission.Admitted();
    }
    LimitValues values = found.get().current();
    long deadline = clock.deadlineAfterMillis(WAIT_MILLIS);
    LocalBalance requestBalance = balanceOf(requests, member, LimitKind.REQUESTS_PER_SECOND);
    LocalBalance.TakeResult request = null;
    if (values.value(LimitKind.REQUESTS_PER_SECOND).isPresent()) {
      request = requestBalance.take(1, deadline);
      if (!request.taken()) {
        return overLimit(LimitKind.REQUESTS_PER_SECOND, request);
      }
    }
    if (tokenCount > 0 && values.value(LimitKind.TOKENS_PER_SECOND).isPresent()) {
      LocalBalance.TakeResult taken =
          balanceOf(tokens, member, LimitKind.TOKENS_PER_SECOND).take(tokenCount, deadline);
      if (!taken.taken()) {
        if (request != null) {
          requestBalance.giveBack(1, request);
        }
        return overLimit(LimitKind.TOKENS_PER_SECOND, taken);
      }
    }
    return new Admission.Admitted();
  }

  private LocalBalance balanceOf(
      Map<String, LocalBalance> balances, String member, LimitKind kind) {
    return balances.computeIfAbsent(member, key -> new LocalBalance(key, kind, requester, clock));
  }

  private static Admission overLimit(LimitKind kind, LocalBalance.TakeResult result) {
    return new Admission.OverLimit(kind.toText(), Instant.now().plusMillis(result.retryMillis()));
  }
}
