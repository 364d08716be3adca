package org.sedgeroad.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.sedgeroad.ServiceClass.BATCH;
import static org.sedgeroad.ServiceClass.LIVE;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.ServiceClass;

/**
 * Guards against two faults: a link to another region is overloaded, or live requests wait on it
 * for batch requests.
 */
class LinkBudgetTest {
  private static final long MILLI = 1_000_000L;

  private final LinkBudget budget = LinkBudget.of(1_000_000);

  private long sendAll(ServiceClass serviceClass, long bytes, long fromMillis, long untilMillis) {
    long sent = 0;
    for (long millis = fromMillis; millis < untilMillis; millis++) {
      while (budget.tryTake("cuyo", serviceClass, bytes, millis * MILLI)) {
        sent += bytes;
      }
    }
    return sent;
  }

  @Nested
  class TryTake {
    @Test
    void keepsToTheRateOverTime() {
      long sent = sendAll(LIVE, 5_000, 0, 10_000);
      assertTrue(sent > 9_900_000 && sent <= 10_250_000, "sent " + sent);
    }

    @Test
    void sendsLiveAtOnceAfterBatchUsedItsShare() {
      sendAll(BATCH, 5_000, 0, 1_000);
      assertFalse(budget.tryTake("cuyo", BATCH, 5_000, 1_000 * MILLI));
      assertTrue(budget.tryTake("cuyo", LIVE, 60_000, 1_000 * MILLI));
    }

    @Test
    void sendsNoBatchWhileLiveTakesTheWholeLink() {
      sendAll(LIVE, 5_000, 0, 1_000);
      long batch = 0;
      for (long millis = 1_000; millis < 3_000; millis++) {
        sendAll(LIVE, 5_000, millis, millis + 1);
        batch += budget.tryTake("cuyo", BATCH, 1_000, millis * MILLI) ? 1 : 0;
      }
      assertEquals(0, batch);
    }

    @Test
    void countsEachLinkSeparately() {
      sendAll(LIVE, 5_000, 0, 100);
      assertTrue(budget.tryTake("guate-central", LIVE, 5_000, 100 * MILLI));
    }

    @Test
    void sendsRequestsLargerThanTheBucketAndWaitsAfterwards() {
      assertTrue(budget.tryTake("cuyo", BATCH, 500_000, 0));
      assertFalse(budget.tryTake("cuyo", LIVE, 1_000, 200 * MILLI));
      assertTrue(budget.tryTake("cuyo", LIVE, 1_000, 260 * MILLI));
    }
  }

  @Nested
  class DeductControl {
    @Test
    void controlMessagesDelayLaterLiveRequests() {
      sendAll(LIVE, 5_000, 0, 1_000);
      budget.deductControl("cuyo", 100_000, 1_000 * MILLI);
      assertEquals(0, sendAll(LIVE, 5_000, 1_000, 1_095));
      assertTrue(sendAll(LIVE, 5_000, 1_095, 1_120) > 0);
    }
  }

  @Nested
  class WaitNanos {
    @Test
    void returnsTheTimeUntilTheRequestMayBeSent() {
      sendAll(BATCH, 5_000, 0, 1_000);
      long wait = budget.waitNanos("cuyo", BATCH, 5_000, 1_000 * MILLI);
      assertTrue(wait > 0);
      assertFalse(budget.tryTake("cuyo", BATCH, 5_000, 1_000 * MILLI + wait / 2));
      assertTrue(budget.tryTake("cuyo", BATCH, 5_000, 1_000 * MILLI + wait));
    }
  }

  @Nested
  class SetBytesPerSecond {
    @Test
    void newRateAppliesToLaterRequests() {
      sendAll(LIVE, 5_000, 0, 1_000);
      budget.setBytesPerSecond(100_000, 1_000 * MILLI);
      long sent = sendAll(LIVE, 1_000, 1_000, 11_000);
      assertTrue(sent > 980_000 && sent <= 1_030_000, "sent " + sent);
    }

    @Test
    void refusesZero() {
      assertThrows(IllegalArgumentException.class, () -> budget.setBytesPerSecond(0, 0));
    }
  }
}
