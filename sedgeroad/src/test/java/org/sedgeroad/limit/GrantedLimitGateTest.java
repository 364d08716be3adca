package org.sedgeroad.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.peer.Grant;
import org.sedgeroad.peer.GrantRequest;
import org.sedgeroad.peer.LocalPeerNetwork;

class GrantedLimitGateTest {
  private static final long SECOND = 1_000_000_000L;

  private final AtomicLong now = new AtomicLong(5 * SECOND);
  private final AtomicLong generation = new AtomicLong();
  private final OwnerView owners =
      new OwnerView() {
        @Override
        public String ownerOf(String member) {
          return "owner";
        }

        @Override
        public GrantScope grantScope(String member, long nowNanos) {
          return GrantScope.SHARE_AND_ISOLATED;
        }

        @Override
        public long generation() {
          return generation.get();
        }
      };
  private final LimitValues values =
      LimitValues.unlimited()
          .with(LimitKind.REQUESTS_PER_SECOND, 10)
          .with(LimitKind.TOKENS_PER_SECOND, 1_000);
  private final Grantor grantor =
      new Grantor(
          owners,
          member -> Optional.of(new MemberLimits(7, values, List.of())),
          member -> MemberShares.equalSplit(List.of("a")),
          Map::of,
          DomainAllowance.of("a", List.of("a")));

  private GrantedLimitGate gate(LocalPeerNetwork network, Optional<MemberLimits> limits) {
    return GrantedLimitGate.of("entry", member -> limits, owners, grantor, network, now::get);
  }

  private long grantAll() {
    long sum = 0;
    GrantRequest one = new GrantRequest("entry", "m", "requests-per-second", 1);
    for (Grant grant = grantor.grant(one, now.get());
        grant.granted() > 0;
        grant = grantor.grant(one, now.get())) {
      sum += grant.granted();
    }
    return sum;
  }

  @Nested
  class Admissions {

    /**
     * Guards against sub-grants that are used after they have expired, one second after the
     * request.
     */
    @Test
    void unitsExpireOneSecondAfterTheRequest() {
      AtomicInteger requests = new AtomicInteger();
      LocalPeerNetwork network = LocalPeerNetwork.of("owner");
      network.handle(
          GrantRequest.class,
          (sender, request) -> {
            boolean granted = requests.incrementAndGet() == 1;
            now.addAndGet(SECOND / 2);
            return Optional.of(new Grant("m", request.limit(), granted ? 100 : 0, 1_000, 30, 7));
          });
      LimitValues requestsOnly = LimitValues.unlimited().with(LimitKind.REQUESTS_PER_SECOND, 10);
      GrantedLimitGate gate =
          gate(network, Optional.of(new MemberLimits(7, requestsOnly, List.of())));
      assertTrue(requests.get() == 0);
      var first = gate.admit("m", ServiceClass.LIVE, 5);
      assertInstanceOf(Admission.Admitted.class, first);
      now.addAndGet(SECOND / 2);
      assertInstanceOf(Admission.OverLimit.class, gate.admit("m", ServiceClass.LIVE, 5));
      assertEquals(2, requests.get());
    }

    /** Guards against a refusal, or a busy loop, for a member without limits. */
    @Test
    void memberWithoutLimitsIsAdmitted() {
      GrantedLimitGate gate = gate(LocalPeerNetwork.of("entry"), Optional.empty());
      assertInstanceOf(Admission.Admitted.class, gate.admit("m", ServiceClass.LIVE, 1 << 30));
    }

    /** Guards against admission without a grant when the owner can't be reached. */
    @Test
    void unreachableOwnerRefuses() {
      GrantedLimitGate gate =
          gate(LocalPeerNetwork.of("entry"), Optional.of(new MemberLimits(7, values, List.of())));
      assertInstanceOf(Admission.OverLimit.class, gate.admit("m", ServiceClass.LIVE, 5));
    }
  }

  @Nested
  class Grants {

    /** Guards against a bucket that grants more than its rate and the units of one second. */
    @Test
    void grantsTheRateAndOneSecondsWorth() {
      assertEquals(0, grantAll());
      now.addAndGet(30 * SECOND);
      assertEquals(10, grantAll());
      long sum = 0;
      for (int i = 0; i < 1_000; i++) {
        now.addAndGet(SECOND / 100);
        sum += grantAll();
      }
      assertEquals(100, sum);
    }

    /** Guards against a balance that was saved before another instance was the owner. */
    @Test
    void ownerChangeResetsTheBalance() {
      grantAll();
      now.addAndGet(30 * SECOND);
      generation.incrementAndGet();
      assertEquals(0, grantAll());
    }

    /** Guards against a raised rate that applies to the time before it was raised. */
    @Test
    void raisedRateCountsFromNowOn() {
      TokenBucket bucket = TokenBucket.emptyAt(0);
      bucket.tryTake(1, 1_000_000, 0);
      assertTrue(bucket.tryTake(1, 50_000_000, SECOND));
      assertEquals(0, bucket.units());
    }

    /** Guards against a request for more than the units of one second that is never granted. */
    @Test
    void largeRequestIsGrantedOnceUnitsAccumulate() {
      GrantRequest large = new GrantRequest("entry", "m", "tokens-per-second", 5_000);
      assertEquals(0, grantor.grant(large, now.get()).granted());
      now.addAndGet(4 * SECOND);
      assertEquals(0, grantor.grant(large, now.get()).granted());
      now.addAndGet(2 * SECOND);
      assertEquals(5_000, grantor.grant(large, now.get()).granted());
    }
  }
}
