package org.sedgeroad.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HeadroomPolicyTest {
  private static final int SLOTS = 8;

  private final BatchPolicy policy = BatchPolicies.named("headroom");
  private final String endpointWithReservedSlot = firstWithFullAllowance(SLOTS - 1);
  private String endpoint = endpointWithReservedSlot;
  private long nanos = -1_000_000_000L;
  private int batch;

  /**
   * Returns the name of the first endpoint that may run the given number of batch items when there
   * are no live requests.
   */
  private static String firstWithFullAllowance(int items) {
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
      allowed =
          fresh.allowedItems(RoutingTestData.viewWithBatch(name, 0, allowed), passed * 1_000_000L);
    }
    return allowed;
  }

  /**
   * Advances the time in steps of 10 ms, requests the allowance at each step as the job runner does
   * at each of its ticks, and returns the number of items allowed at the end.
   */
  private int allowedAfter(int live, long millis) {
    int allowed = allowed(live);
    for (long passed = 0; passed < millis; passed += 10) {
      nanos += 10_000_000L;
      allowed = allowed(live);
    }
    return allowed;
  }

  private int allowed(int live) {
    int allowed = policy.allowedItems(RoutingTestData.viewWithBatch(endpoint, live, batch), nanos);
    assertEquals(
        allowed, policy.allowedItems(RoutingTestData.viewWithBatch(endpoint, live, batch), nanos));
    int kept = endpoint.equals(endpointWithReservedSlot) ? 1 : 0;
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
      assertEquals(1, allowedAfter(0, 0));
      assertEquals(1, allowedAfter(0, 40));
      assertEquals(3, allowedAfter(0, 10));
      assertEquals(7, allowedAfter(0, 50));
    }

    /** Guards against batch items that take all slots again between two waves of a burst. */
    @Test
    void goesInStepsAfterABurst() {
      allowedAfter(0, 2_000);
      assertEquals(2, allowedAfter(5, 0));
      int first = allowedAfter(0, 20);
      assertTrue(first <= 2, "refilled at once to " + first);
      assertTrue(allowedAfter(0, 50) <= 3);
      assertEquals(7, allowedAfter(0, 1_000));
    }

    /** Guards against slots that stay unused after each single live request. */
    @Test
    void isImmediateAfterSingleRequests() {
      allowedAfter(0, 2_000);
      assertEquals(6, allowedAfter(1, 500));
      assertEquals(7, allowedAfter(0, 0));
    }
  }

  @Nested
  class Preemption {
    /** Guards against live requests that wait for a slot taken by a batch item. */
    @Test
    void isImmediate() {
      allowedAfter(0, 2_000);
      assertEquals(0, allowedAfter(8, 0));
      endpoint = firstWithFullAllowance(SLOTS);
      batch = 0;
      assertEquals(SLOTS, allowedAfter(0, 2_000));
      assertEquals(0, allowedAfter(8, 0));
    }
  }

  @Nested
  class ReservedSlots {
    /** Guards against a failure domain in which no slots or too many slots are kept free. */
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
