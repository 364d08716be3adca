package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against avoiding healthy endpoints and against using endpoints that have failed. */
class EndpointHealthTest {
  private static final long MILLI = 1_000_000L;

  private final EndpointHealth health = new EndpointHealth();

  @Nested
  class BrokenAnswers {
    @Test
    void doNotMakeAnEndpointSuspectBetweenSuccesses() {
      for (int number = 0; number < 20; number++) {
        health.recordBrokenAnswer("e", number * MILLI);
        assertFalse(health.isSuspect("e", number * MILLI));
        health.recordSuccess("e");
      }
    }

    @Test
    void makeAnEndpointSuspectAfterTwoInARow() {
      health.recordBrokenAnswer("e", 0);
      health.recordBrokenAnswer("e", MILLI);
      assertTrue(health.isSuspect("e", 2 * MILLI));
    }
  }

  @Nested
  class Unreachable {
    @Test
    void isAvoidedAtOnceAndForLongerEachTime() {
      health.recordUnreachable("e", 0);
      assertTrue(health.isSuspect("e", 499 * MILLI));
      assertFalse(health.isSuspect("e", 500 * MILLI));
      health.recordUnreachable("e", 500 * MILLI);
      assertTrue(health.isSuspect("e", 1_499 * MILLI));
      assertFalse(health.isSuspect("e", 1_500 * MILLI));
    }

    @Test
    void countsOnceForRequestsThatFailTogether() {
      health.recordUnreachable("e", 0);
      health.recordUnreachable("e", MILLI);
      assertFalse(health.isSuspect("e", 500 * MILLI));
    }

    @Test
    void isForgottenAfterASuccess() {
      health.recordUnreachable("e", 0);
      health.recordSuccess("e");
      assertFalse(health.isSuspect("e", MILLI));
    }
  }
}
