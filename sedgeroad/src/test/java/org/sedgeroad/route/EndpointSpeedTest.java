package org.sedgeroad.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.Endpoint;

class EndpointSpeedTest {
  private static final long MILLI = 1_000_000L;

  private long nanos = -3_000 * MILLI;
  private final EndpointTable table = EndpointTable.of("r", () -> nanos);
  private final List<Endpoint> endpoints = new ArrayList<>();

  @BeforeEach
  void listFiveEndpoints() {
    IntStream.range(0, 5)
        .forEach(index -> endpoints.add(RoutingTestData.endpoint("e" + index, "r")));
    table.replace(endpoints);
  }

  /**
   * Sends one request with ten output tokens to each endpoint from the given index on; endpoint
   * {@code e0} is slower by the factor.
   */
  private void sendRequests(int from, double slowdown) {
    for (Endpoint endpoint : endpoints.subList(from, endpoints.size())) {
      double factor = endpoint.name().equals("e0") ? slowdown : 1;
      Placement placement = table.begin(endpoint, RoutingTestData.request(10));
      table.observeFirstEvent(placement, (long) (50 * MILLI * factor));
      for (int token = 1; token < 10; token++) {
        placement = table.observeGap(placement, (long) (20 * MILLI * factor), token);
      }
      table.end(placement);
    }
    nanos += 250 * MILLI;
  }

  private EndpointView firstView() {
    return table.candidates(RoutingTestData.request(10)).get(0);
  }

  @Nested
  class Stragglers {
    /** Guards against endpoints that are considered slow because of noise. */
    @Test
    void areNotFoundInNoise() {
      IntStream.range(0, 10).forEach(round -> sendRequests(0, 1.3));
      assertEquals(1.0, firstView().slowness());
    }

    /**
     * Guards against work that is still sent to a slow endpoint, and against an endpoint that is
     * never used again after it was slow.
     */
    @Test
    void areAvoidedAndProbed() {
      sendRequests(0, 10);
      assertEquals(10, firstView().slowness(), 0.1);
      assertTrue(firstView().isSlow());
      IntStream.range(0, 13).forEach(round -> sendRequests(1, 1));
      assertEquals(1.0, firstView().slowness(), "a probe is due after 3 s");
      sendRequests(0, 10);
      assertTrue(firstView().isSlow(), "the probe was slow");
      IntStream.range(0, 24).forEach(round -> sendRequests(1, 1));
      sendRequests(0, 1);
      sendRequests(0, 1);
      assertEquals(1.0, firstView().slowness(), "the probe was fast");
    }
  }
}
