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
 * Admits requests within the limits of their members.
 *
 * <p>The token buckets of a member are kept by one instance of the failure domain, their owner. It
 * grants units of them to other instances and to itself; each such grant is called a sub-grant.
 * This gate takes units from the sub-grants of its instance and requests more if there are too few.
 *
 * <p>The limits named {@code default} apply to each member without limits of its own, and are
 * counted separately for each. Without {@code default} limits such a member is unlimited.
 * Thread-safe.
 */
public final class GrantedLimitGate implements LimitGate {
  /** Longest wait for the answer of an owner, in milliseconds. */
  public static final long WAIT_MILLIS = 50;

  private final Map<String, LocalBalance> requestBalances = new ConcurrentHashMap<>();
  private final Map<String, LocalBalance> tokenBalances = new ConcurrentHashMap<>();
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
   * Returns a gate that has received no sub-grants yet.
   *
   * @param self name of this instance
   * @param limits limits of a member, empty if it is unlimited
   * @param owners determines the owner of a member's token buckets
   * @param ownGrantor answers grant requests for members whose token buckets this instance owns
   * @param network sends grant requests to the other owners
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
    LocalBalance requestBalance = balanceOf(requestBalances, member, LimitKind.REQUESTS_PER_SECOND);
    LocalBalance.TakeResult requestResult = null;
    if (values.value(LimitKind.REQUESTS_PER_SECOND).isPresent()) {
      requestResult = requestBalance.take(1, deadline);
      if (!requestResult.taken()) {
        return overLimit(LimitKind.REQUESTS_PER_SECOND, requestResult);
      }
    }
    if (tokenCount > 0 && values.value(LimitKind.TOKENS_PER_SECOND).isPresent()) {
      LocalBalance.TakeResult tokenResult =
          balanceOf(tokenBalances, member, LimitKind.TOKENS_PER_SECOND).take(tokenCount, deadline);
      if (!tokenResult.taken()) {
        if (requestResult != null) {
          requestBalance.giveBack(1, requestResult);
        }
        return overLimit(LimitKind.TOKENS_PER_SECOND, tokenResult);
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
