package org.sedgeroad.entry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.VirtualClock;

class FallbackReadTest {
  private final VirtualClock clock = new VirtualClock();
  private final FallbackRead read =
      new FallbackRead(clock, 2 * FallbackRead.START_MILLIS, bound -> 0);

  @Nested
  class Incomplete {
    @Test
    void readsAfterTheFirstTimeAndThenOftener() {
      clock.advanceMillis(2 * FallbackRead.START_MILLIS - 1);
      assertFalse(read.takeDue());
      clock.advanceMillis(1);
      assertTrue(read.takeDue());
      assertFalse(read.takeDue());
      clock.advanceMillis(FallbackRead.START_MILLIS);
      assertTrue(read.takeDue());
    }
  }

  @Nested
  class Complete {
    /**
     * Covers a pull from a peer that completes just before the read is due and before any
     * heartbeat.
     */
    @Test
    void doesNotReadBetweenCompletionAndTheFirstHeartbeat() {
      clock.advanceMillis(2 * FallbackRead.START_MILLIS - 1);
      assertTrue(read.completed());
      clock.advanceMillis(1_000);
      assertFalse(read.takeDue());
    }

    @Test
    void isNewsOnce() {
      assertTrue(read.completed());
      assertFalse(read.completed());
    }

    @Test
    void readsWhenNoWatcherConfirmsForLong() {
      read.completed();
      read.confirmed();
      clock.advanceMillis(FallbackRead.COMPLETE_MILLIS - 1);
      assertFalse(read.takeDue());
      clock.advanceMillis(1);
      assertTrue(read.takeDue());
    }

    @Test
    void isPutOffByEachConfirmation() {
      read.completed();
      for (int beat = 0; beat < 100; beat++) {
        clock.advanceMillis(1_000);
        read.confirmed();
        assertFalse(read.takeDue());
      }
    }
  }
}
