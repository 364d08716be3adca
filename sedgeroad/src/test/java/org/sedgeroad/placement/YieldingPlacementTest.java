package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.gateway.ServiceEndpoint;

/** Guards against engines that are overbooked when the clients of an outage return. */
class YieldingPlacementTest {
  private static EndpointLoad load(int live, int batch, boolean suspect) {
    ServiceEndpoint endpoint = new ServiceEndpoint("e", "engine", "10.0.0.1:80", "a", 8, false);
    return new EndpointLoad(endpoint, EndpointLoad.Distance.SAME_DOMAIN, live, batch, 0, suspect);
  }

  @Nested
  class Share {
    @Test
    void isAllOfThePlacesForALoneInstance() {
      assertEquals(
          12, YieldingPlacement.share(List.of(load(4, 0, false), load(0, 4, false)), 20, 0, 0, 0));
    }

    @Test
    void isProportionalToWhatWaits() {
      assertEquals(2, YieldingPlacement.share(List.of(load(0, 0, false)), 5, 15, 0, 0));
    }

    @Test
    void countsInstancesThatAreNotHeardOfAsEqual() {
      assertEquals(2, YieldingPlacement.share(List.of(load(0, 0, false)), 5, 0, 3, 0));
    }

    @Test
    void isRoundedAtRandom() {
      List<EndpointLoad> loads = List.of(load(7, 0, false));
      assertEquals(0, YieldingPlacement.share(loads, 1, 1, 0, 0.4));
      assertEquals(1, YieldingPlacement.share(loads, 1, 1, 0, 0.6));
    }

    @Test
    void leavesSuspectEndpointsUnlessThereIsNoOther() {
      List<EndpointLoad> mixed = List.of(load(0, 0, true), load(6, 0, false));
      assertEquals(2, YieldingPlacement.share(mixed, 9, 0, 0, 0));
      assertEquals(8, YieldingPlacement.share(List.of(load(0, 0, true)), 9, 0, 0, 0));
    }

    @Test
    void isNothingWhereLiveRequestsTakeAllPlaces() {
      assertEquals(0, YieldingPlacement.share(List.of(load(9, 0, false)), 9, 0, 0, 0));
    }
  }

  @Nested
  class Round {
    @Test
    void beginsWhenAllHaveReported() {
      assertTrue(YieldingPlacement.mayBegin(8, 8, 1));
      assertFalse(YieldingPlacement.mayBegin(7, 8, 1));
    }

    @Test
    void beginsAfterATimeWithoutThem() {
      assertTrue(YieldingPlacement.mayBegin(0, 8, YieldingPlacement.ROUND_MILLIS * 1_000_000L));
    }
  }
}
