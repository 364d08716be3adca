package org.sedgeroad.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against wrong estimates of how long a client waited before its request arrived. */
class PriorWaitEstimatorTest {
  private static final long MILLI = 1_000_000L;
  private static final long FULL_TIMEOUT_MILLIS = 5_057;

  private final PriorWaitEstimator estimator = new PriorWaitEstimator();

  private long waitedMillis(long remainingMillis) {
    return estimator.waitedNanos("chat", remainingMillis * MILLI) / MILLI;
  }

  private void addRequests(int requests, long remainingMillis) {
    for (int count = 0; count < requests; count++) {
      waitedMillis(remainingMillis);
    }
  }

  @Nested
  class NewRequest {
    @Test
    void hasNotWaited() {
      addRequests(100, FULL_TIMEOUT_MILLIS);
      assertEquals(0, waitedMillis(FULL_TIMEOUT_MILLIS));
      assertEquals(0, waitedMillis(FULL_TIMEOUT_MILLIS - 8));
    }

    @Test
    void hasNotWaitedIfFewRequestsAreKnown() {
      assertEquals(0, waitedMillis(FULL_TIMEOUT_MILLIS));
      assertEquals(0, waitedMillis(1_000));
    }
  }

  @Nested
  class ReturningRequest {
    @Test
    void hasWaitedForTheMissingTime() {
      addRequests(100, FULL_TIMEOUT_MILLIS);
      long waited = waitedMillis(FULL_TIMEOUT_MILLIS - 1_040);
      assertTrue(Math.abs(waited - 1_040) <= PriorWaitEstimator.STEP_MILLIS, waited + " ms");
    }

    /** After an outage most clients have already waited for about one connection attempt. */
    @Test
    void isRecognisedWhereMostRequestsReturn() {
      for (int round = 0; round < 20; round++) {
        addRequests(4, FULL_TIMEOUT_MILLIS - 1_040);
        addRequests(1, FULL_TIMEOUT_MILLIS);
      }
      assertTrue(waitedMillis(FULL_TIMEOUT_MILLIS - 1_040) >= 1_000);
      assertEquals(0, waitedMillis(FULL_TIMEOUT_MILLIS));
    }
  }

  @Nested
  class LongTimeoutMinority {
    @Test
    void doesNotMakeTheOthersLate() {
      for (int round = 0; round < 40; round++) {
        addRequests(19, FULL_TIMEOUT_MILLIS);
        addRequests(1, 3 * FULL_TIMEOUT_MILLIS);
      }
      assertEquals(0, waitedMillis(FULL_TIMEOUT_MILLIS));
    }
  }

  @Nested
  class Routes {
    @Test
    void areIndependent() {
      addRequests(100, FULL_TIMEOUT_MILLIS);
      assertEquals(0, estimator.waitedNanos("status", 1_000 * MILLI));
    }
  }
}
