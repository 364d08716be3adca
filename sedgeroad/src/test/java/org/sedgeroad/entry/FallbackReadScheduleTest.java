package org.sedgeroad.entry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.VirtualClock;

class FallbackReadScheduleTest {
  private final VirtualClock clock = new VirtualClock();
  private final FallbackReadSchedule schedule =
      new FallbackReadSchedule(clock, 2 * FallbackReadSchedule.STARTUP_MILLIS, bound -> 0);

  @Nested
  class Incomplete {
    @Test
    void readsAfterTheFirstDelayAndThenMoreOften() {
      clock.advanceMillis(2 * FallbackReadSchedule.STARTUP_MILLIS - 1);
      assertFalse(schedule.takeDueRead());
      clock.advanceMillis(1);
      assertTrue(schedule.takeDueRead());
      assertFalse(schedule.takeDueRead());
      clock.advanceMillis(FallbackReadSchedule.STARTUP_MILLIS);
      assertTrue(schedule.takeDueRead());
    }
  }

  @Nested
  class Complete {
    /**
     * Guards against a read of the store by an instance that pulled the configuration from a peer
     * just before the first read is due, and has not yet received a heartbeat of a watching
     * instance.
     */
    @Test
    void doesNotReadBetweenCompletionAndTheFirstHeartbeat() {
      clock.advanceMillis(2 * FallbackReadSchedule.STARTUP_MILLIS - 1);
      assertTrue(schedule.markComplete());
      clock.advanceMillis(1_000);
      assertFalse(schedule.takeDueRead());
    }

    @Test
    void isReportedOnce() {
      assertTrue(schedule.markComplete());
      assertFalse(schedule.markComplete());
    }

    @Test
    void readsWithoutConfirmationForTheTimeout() {
      schedule.markComplete();
      schedule.recordConfirmation();
      clock.advanceMillis(FallbackReadSchedule.CONFIRMATION_TIMEOUT_MILLIS - 1);
      assertFalse(schedule.takeDueRead());
      clock.advanceMillis(1);
      assertTrue(schedule.takeDueRead());
    }

    @Test
    void isPostponedByEachConfirmation() {
      schedule.markComplete();
      for (int heartbeat = 0; heartbeat < 100; heartbeat++) {
        clock.advanceMillis(1_000);
        schedule.recordConfirmation();
        assertFalse(schedule.takeDueRead());
      }
    }
  }
}
