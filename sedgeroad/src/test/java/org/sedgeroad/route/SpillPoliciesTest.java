package org.sedgeroad.route;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.sedgeroad.ServiceClass.BATCH;
import static org.sedgeroad.ServiceClass.LIVE;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.ServiceClass;

/**
 * Guards against requests that are sent over a billed link without need, or that miss their
 * deadline because they stay in their region.
 */
class SpillPoliciesTest {
  private static final long SECOND = 1_000_000_000L;
  private static final long NEVER = Long.MAX_VALUE;

  private static boolean spills(
      ServiceClass serviceClass, long localWait, long remoteWait, long toDeadline) {
    return SpillPolicies.named("deadline")
        .shouldSpill(
            new SpillEstimate(
                serviceClass, localWait, remoteWait, 10 * SECOND, toDeadline * SECOND));
  }

  @Nested
  class Deadline {
    @Test
    void keepsRequestsThatMeetTheDeadlineLocallyEvenIfTheOtherRegionIsFaster() {
      assertFalse(spills(LIVE, 20 * SECOND, 0, 30));
      assertFalse(spills(BATCH, 20 * SECOND, 0, 30));
    }

    @Test
    void spillsRequestsThatWouldMissTheDeadlineLocally() {
      assertTrue(spills(LIVE, 21 * SECOND, SECOND, 30));
      assertTrue(spills(BATCH, 21 * SECOND, SECOND, 30));
    }

    @Test
    void keepsRequestsThatWouldWaitLongerInTheOtherRegion() {
      assertFalse(spills(LIVE, 21 * SECOND, 22 * SECOND, 30));
      assertFalse(spills(LIVE, NEVER, NEVER, 30));
    }

    @Test
    void spillsLateLiveButNotLateBatchRequests() {
      assertTrue(spills(LIVE, 60 * SECOND, 25 * SECOND, 30));
      assertFalse(spills(BATCH, 60 * SECOND, 25 * SECOND, 30));
    }

    @Test
    void keepsBatchRequestsWhoseDeadlineIsFarAway() {
      assertFalse(spills(BATCH, NEVER, SECOND, 7_200));
      assertTrue(spills(BATCH, NEVER, SECOND, 3_000));
    }

    @Test
    void doesNotOverflowAfterTheDeadline() {
      assertTrue(spills(LIVE, NEVER, SECOND, -5));
    }
  }

  @Nested
  class None {
    @Test
    void keepsEverything() {
      assertFalse(
          SpillPolicies.named("none")
              .shouldSpill(new SpillEstimate(LIVE, NEVER, 0, SECOND, SECOND)));
    }
  }
}
