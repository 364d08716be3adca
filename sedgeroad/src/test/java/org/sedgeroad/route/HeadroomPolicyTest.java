package org.sedgeroad.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HeadroomPolicyTest {
  private static final int SLOTS = 8;

  private final BatchPolicy policy = BatchPolicies.named("headroom");
  private final String keeping = firstThatMayUse(SLOTS - 1);
  private String endpoint = keeping;
  private long nanos = -1_000_000_000L;
  private int batch;

  /**
   * Returns the first endpoint that may run the given number of batch items when there are no live
   * requests.
   */
  private static String firstThatMayUse(int items) {
    return IntStream.range(0, 100)
        .mapToObj(index -> "e" + index)
        .filter(name -> fullAllowance(name) == items)
        .findFirst()
        .orElseThrow();
  }

  private static int fullAllowance(String name) {
    BatchPolicy fresh = BatchPolicies.named("headroom");
    int allowed = 0;
    for (long passed = 0; passed <= 1_000; passed += 10) {
      allowed = fresh.allowedItems(Views.liveBesideBatch(name, 0, allowed), passed * 1_000_000L);
    }
    return allowed;
  }

  /**
   * Advances the time in steps of 10 ms, the interval of the job runner, and returns the number of
   * items allowed at the end.
   */
  private int after(int live, long millis) {
    int allowed = allowed(live);
    for (long passed = 0; passed < millis; passed += 10) {
      nanos += 10_000_000L;
      allowed = allowed(live);
    }
    return allowed;
  }

  private int allowed(int live) {
    int allowed = policy.allowedItems(Views.liveBesideBatch(endpoint, live, batch), nanos);
    assertEquals(allowed, policy.allowedItems(Views.liveBesideBatch(endpoint, live, batch), nanos));
    int kept = endpoint.equals(keeping) ? 1 : 0;
    assertTrue(
        allowed + live + kept <= SLOTS || allowed == 0,
        "batch items take a slot needed by live requests");
    // The job runner always has more items to run.
    batch = allowed;
    return allowed;
  }

  @Nested
  class Refill {
    /**
     * Guards against a new owner of an endpoint that fills the slots in the middle of a burst whose
     * start it did not observe.
     */
    @Test
    void startsWithOneItemAndDoubles() {
      assertEquals(1, after(0, 0));
      assertEquals(1, after(0, 40));
      assertEquals(3, after(0, 10));
      assertEquals(7, after(0, 50));
    }

    /** Guards against batch items that take all slots again between two waves of a burst. */
    @Test
    void goesInStepsAfterABurst() {
      after(0, 2_000);
      assertEquals(2, after(5, 0));
      int first = after(0, 20);
      assertTrue(first <= 2, "refilled at once to " + first);
      assertTrue(after(0, 50) <= 3);
      assertEquals(7, after(0, 1_000));
    }

    /** Guards against slots that stay unused after each single live request. */
    @Test
    void isImmediateAfterSingleRequests() {
      after(0, 2_000);
      assertEquals(6, after(1, 500));
      assertEquals(7, after(0, 0));
    }
  }

  @Nested
  class GivingWay {
    /** Guards against live requests that wait for a slot taken by a batch item. */
    @Test
    void isImmediate() {
      after(0, 2_000);
      assertEquals(0, after(8, 0));
      endpoint = firstThatMayUse(SLOTS);
      batch = 0;
      assertEquals(SLOTS, after(0, 2_000));
      assertEquals(0, after(8, 0));
    }
  }

  @Nested
  class FreeSlots {
    /** Guards against a failure domain in which no slot, or too many slots, are kept free. */
    @Test
    void areKeptAtAboutEverySecondEndpoint() {
      long kept =
          IntStream.range(0, 200)
              .filter(index -> fullAllowance("endpoint-" + index) == SLOTS - 1)
              .count();
      long none =
          IntStream.range(0, 200)
              .filter(index -> fullAllowance("endpoint-" + index) == SLOTS)
              .count();
      assertEquals(200, kept + none);
      assertTrue(kept >= 70 && kept <= 130, kept + " of 200 keep a slot free");
    }
  }
}
