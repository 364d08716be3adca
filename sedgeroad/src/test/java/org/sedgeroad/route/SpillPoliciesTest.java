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

  private static boolean leaves(
      ServiceClass serviceClass, long localWait, long remoteWait, long toDeadline) {
    return SpillPolicies.named("deadline")
        .leaves(
            new SpillChoice(serviceClass, localWait, remoteWait, 10 * SECOND, toDeadline * SECOND));
  }

  @Nested
  class Deadline {
    @Test
    void keepsWhatEndsInTimeAtHomeEvenIfTheOtherRegionIsFaster() {
      assertFalse(leaves(LIVE, 20 * SECOND, 0, 30));
      assertFalse(leaves(BATCH, 20 * SECOND, 0, 30));
    }

    @Test
    void sendsWhatWouldBeLateAtHome() {
      assertTrue(leaves(LIVE, 21 * SECOND, SECOND, 30));
      assertTrue(leaves(BATCH, 21 * SECOND, SECOND, 30));
    }

    @Test
    void keepsWhatWouldWaitLongerThere() {
      assertFalse(leaves(LIVE, 21 * SECOND, 22 * SECOND, 30));
      assertFalse(leaves(LIVE, NEVER, NEVER, 30));
    }

    @Test
    void sendsLateLiveButNotBatchThatIsLateAnyway() {
      assertTrue(leaves(LIVE, 60 * SECOND, 25 * SECOND, 30));
      assertFalse(leaves(BATCH, 60 * SECOND, 25 * SECOND, 30));
    }

    @Test
    void keepsBatchWhoseDeadlineIsFar() {
      assertFalse(leaves(BATCH, NEVER, SECOND, 7_200));
      assertTrue(leaves(BATCH, NEVER, SECOND, 3_000));
    }

    @Test
    void doesNotOverflowAfterTheDeadline() {
      assertTrue(leaves(LIVE, NEVER, SECOND, -5));
    }
  }

  @Nested
  class None {
    @Test
    void keepsEverything() {
      assertFalse(
          SpillPolicies.named("none").leaves(new SpillChoice(LIVE, NEVER, 0, SECOND, SECOND)));
    }
  }
}
