package org.sedgeroad.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ClientPatienceTest {
  private static final long MILLI = 1_000_000L;
  private static final long WHOLE = 5_057;

  private final ClientPatience patience = new ClientPatience();

  private long waitedMillis(long leftMillis) {
    return patience.waitedNanos("chat", leftMillis * MILLI) / MILLI;
  }

  private void see(int requests, long leftMillis) {
    for (int count = 0; count < requests; count++) {
      waitedMillis(leftMillis);
    }
  }

  @Nested
  class NewRequest {
    @Test
    void hasNotWaited() {
      see(100, WHOLE);
      assertEquals(0, waitedMillis(WHOLE));
      assertEquals(0, waitedMillis(WHOLE - 8));
    }

    @Test
    void hasNotWaitedWhileLittleIsKnown() {
      assertEquals(0, waitedMillis(WHOLE));
      assertEquals(0, waitedMillis(1_000));
    }
  }

  @Nested
  class ReturningRequest {
    @Test
    void hasWaitedWhatIsMissing() {
      see(100, WHOLE);
      long waited = waitedMillis(WHOLE - 1_040);
      assertTrue(Math.abs(waited - 1_040) <= ClientPatience.STEP_MILLIS, waited + " ms");
    }

    /** After an outage most requests have waited for about the time of a connection attempt. */
    @Test
    void isRecognisedWhereMostRequestsReturn() {
      for (int round = 0; round < 20; round++) {
        see(4, WHOLE - 1_040);
        see(1, WHOLE);
      }
      assertTrue(waitedMillis(WHOLE - 1_040) >= 1_000);
      assertEquals(0, waitedMillis(WHOLE));
    }
  }

  @Nested
  class PatientMinority {
    @Test
    void doesNotMakeTheOthersLate() {
      for (int round = 0; round < 40; round++) {
        see(19, WHOLE);
        see(1, 3 * WHOLE);
      }
      assertEquals(0, waitedMillis(WHOLE));
    }
  }

  @Nested
  class Routes {
    @Test
    void areApart() {
      see(100, WHOLE);
      assertEquals(0, patience.waitedNanos("status", 1_000 * MILLI));
    }
  }
}
