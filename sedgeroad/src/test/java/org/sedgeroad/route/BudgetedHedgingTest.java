package org.sedgeroad.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BudgetedHedgingTest {
  private final HedgePolicy hedging = HedgePolicies.named("budgeted");
  private final RequestShape request = RoutingTestData.request(10);

  @Nested
  class Budget {
    /** Guards against second attempts that double the load when all endpoints are slow. */
    @Test
    void isFivePercentOfTheRequests() {
      int hedges = 0;
      for (int index = 0; index < 1_000; index++) {
        hedging.delayNanos(request, index);
        hedges += hedging.tryHedge() ? 1 : 0;
      }
      assertEquals(50, hedges);
    }
  }

  @Nested
  class Delay {
    /** Guards against second attempts for requests whose times are normal. */
    @Test
    void followsThePercentile() {
      assertTrue(hedging.delayNanos(request, 0).isEmpty());
      for (int index = 0; index < 160; index++) {
        hedging.observeFirstEvent(request, (index % 100 + 1) * 1_000_000L, index);
      }
      long delay = hedging.delayNanos(request, 0).orElseThrow();
      assertTrue(delay > 85_000_000L && delay < 100_000_000L, "delay " + delay);
    }
  }
}
