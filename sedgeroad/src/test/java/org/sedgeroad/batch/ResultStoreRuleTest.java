package org.sedgeroad.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against results that clients read too late, and against one store call for each. */
class ResultStoreRuleTest {
  private static final long CHECK_MILLIS = 250;

  /** Returns the calls for ten items, one of which finishes at the end of each interval. */
  private static int calls(long dueMillis, long intervalMillis) {
    int calls = 0;
    int stored = 0;
    long oldest = -1;
    for (long now = 0; stored < 10; now += CHECK_MILLIS) {
      int finished = (int) Math.min(10, now / intervalMillis);
      if (finished == stored) {
        continue;
      }
      oldest = oldest < 0 ? now : oldest;
      if (ResultStoreRule.isDue(finished == 10, dueMillis - now, now - oldest)) {
        calls++;
        stored = finished;
        oldest = -1;
      }
    }
    return calls;
  }

  @Nested
  class Grouping {
    @Test
    void takesAThirdOfTheCallsWhileTheJobIsNotNearlyDue() {
      assertEquals(3, calls(18_500, 1_000));
    }

    @Test
    void storesEachResultThatIsUrgent() {
      assertTrue(ResultStoreRule.isDue(false, 2_499, 0));
      assertFalse(ResultStoreRule.isDue(false, 2_500, 2_999));
    }

    @Test
    void keepsLateResultsForAQuarterOfASecondAtMost() {
      assertFalse(ResultStoreRule.isDue(false, 0, 249));
      assertTrue(ResultStoreRule.isDue(false, -1, 250));
    }
  }
}
