package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.gateway.ServiceEndpoint;

/** Guards against overbooked engines when all clients return after an outage. */
class DeferredPlacementTest {
  private static EndpointLoad load(int live, int batch, boolean suspect) {
    ServiceEndpoint endpoint = new ServiceEndpoint("e", "engine", "10.0.0.1:80", "a", 8, false);
    return new EndpointLoad(endpoint, EndpointLoad.Distance.SAME_DOMAIN, live, batch, 0, suspect);
  }

  @Nested
  class Share {
    @Test
    void isAllFreeSlotsForASingleInstance() {
      assertEquals(
          12, DeferredPlacement.share(List.of(load(4, 0, false), load(0, 4, false)), 20, 0, 0, 0));
    }

    @Test
    void isProportionalToTheWaitingRequests() {
      assertEquals(2, DeferredPlacement.share(List.of(load(0, 0, false)), 5, 15, 0, 0));
    }

    @Test
    void countsInstancesWithoutReportsAsEqual() {
      assertEquals(2, DeferredPlacement.share(List.of(load(0, 0, false)), 5, 0, 3, 0));
    }

    @Test
    void isRoundedAtRandom() {
      List<EndpointLoad> loads = List.of(load(7, 0, false));
      assertEquals(0, DeferredPlacement.share(loads, 1, 1, 0, 0.4));
      assertEquals(1, DeferredPlacement.share(loads, 1, 1, 0, 0.6));
    }

    @Test
    void skipsSuspectEndpointsUnlessThereIsNoOther() {
      List<EndpointLoad> mixed = List.of(load(0, 0, true), load(6, 0, false));
      assertEquals(2, DeferredPlacement.share(mixed, 9, 0, 0, 0));
      assertEquals(8, DeferredPlacement.share(List.of(load(0, 0, true)), 9, 0, 0, 0));
    }

    @Test
    void isZeroIfLiveRequestsTakeAllSlots() {
      assertEquals(0, DeferredPlacement.share(List.of(load(9, 0, false)), 9, 0, 0, 0));
    }
  }

  @Nested
  class Round {
    @Test
    void beginsWhenTheLoadsWereExchanged() {
      assertTrue(DeferredPlacement.mayBegin(true, 1));
      assertFalse(DeferredPlacement.mayBegin(false, 1));
    }

    @Test
    void beginsAfterATimeoutWithoutAnExchange() {
      assertTrue(
          DeferredPlacement.mayBegin(false, DeferredPlacement.ROUND_TIMEOUT_MILLIS * 1_000_000L));
    }
  }
}
