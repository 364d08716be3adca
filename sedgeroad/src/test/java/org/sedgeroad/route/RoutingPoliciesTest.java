package org.sedgeroad.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RoutingPoliciesTest {
  private final Random random = new Random(1);
  private final RequestCosts costs = new RequestCosts();
  private long nanos;
  private final PrefixHints hints = new PrefixHints(() -> nanos);

  private RoutingPolicy policy(String name) {
    return RoutingPolicies.named(name, costs, hints);
  }

  private Map<String, Integer> choices(
      RoutingPolicy policy, RequestShape request, List<EndpointView> views) {
    Map<String, Integer> counts = new HashMap<>();
    for (int index = 0; index < 1_000; index++) {
      String name = policy.choose(request, views, random).orElseThrow().endpoint().name();
      counts.merge(name, 1, Integer::sum);
    }
    return counts;
  }

  private static EndpointView remote(String name, int live) {
    return new EndpointView(RoutingTestData.endpoint(name, "x"), 8, live, 0, 0, 0, 0, 1.0, false);
  }

  private static EndpointView slow(String name, int live) {
    return new EndpointView(
        RoutingTestData.endpoint(name, "r"), 8, live, 0, 0, live * 20L, 0, 10.0, true);
  }

  @Nested
  class LeastCost {
    private final RoutingPolicy policy = policy("least-cost");
    private final RequestShape request = RoutingTestData.request(10);

    /** Guards against a request that waits in a queue although another endpoint has a free slot. */
    @Test
    void neverQueuesBesideAFreeSlot() {
      var views = List.of(RoutingTestData.view("full", 0, 8), RoutingTestData.view("free", 7, 0));
      assertEquals(Map.of("free", 1_000), choices(policy, request, views));
    }

    /**
     * Guards against requests that are sent to another region although they would soon get a slot
     * in their own.
     */
    @Test
    void staysInItsRegionUntilTheQueueIsLong() {
      var shortQueue = List.of(RoutingTestData.view("local", 10, 0), remote("far", 0));
      assertEquals(Map.of("local", 1_000), choices(policy, request, shortQueue));
      var longQueue = List.of(RoutingTestData.view("local", 12, 0), remote("far", 0));
      assertEquals(Map.of("far", 1_000), choices(policy, request, longQueue));
    }

    /** Guards against new requests at an endpoint that is known to be slow. */
    @Test
    void avoidsSlowEndpoints() {
      var views = List.of(slow("slow", 0), RoutingTestData.view("fast", 7, 0));
      assertEquals(Map.of("fast", 1_000), choices(policy, request, views));
    }

    /**
     * Guards against all instances sending their requests to the endpoint with the lowest score.
     */
    @Test
    void spreadsOverNearEqualEndpoints() {
      var views =
          IntStream.range(0, 8).mapToObj(i -> RoutingTestData.view("e" + i, i % 2, 0)).toList();
      Map<String, Integer> counts = choices(policy, request, views);
      assertTrue(counts.values().stream().allMatch(count -> count < 350), counts.toString());
    }
  }

  @Nested
  class LongRequests {
    private final RoutingPolicy policy = policy("least-cost");
    private final RequestShape request = RoutingTestData.request(600);

    private void addShortRequests() {
      IntStream.range(0, 64).forEach(index -> costs.add(RoutingTestData.request(10)));
    }

    private List<EndpointView> views(int longLive) {
      List<EndpointView> views = new ArrayList<>();
      for (int index = 0; index < 8; index++) {
        views.add(
            new EndpointView(
                RoutingTestData.endpoint("e" + index, "r"), 8, 2, 0, 0, 40, longLive, 1.0, true));
      }
      return views;
    }

    /**
     * Guards against long requests at every endpoint, where short ones would have to run with them.
     */
    @Test
    void leaveAQuarterOfTheEndpointsFree() {
      assertEquals(8, choices(policy, request, views(0)).size());
      addShortRequests();
      assertEquals(6, choices(policy, request, views(0)).size());
      assertEquals(8, choices(policy, RoutingTestData.request(10), views(0)).size());
    }

    /** Guards against an endpoint whose slots are all taken by long requests. */
    @Test
    void takePartOfTheSlotsOnly() {
      addShortRequests();
      List<EndpointView> views = views(2);
      String endpointBelowLimit = choices(policy, request, views).keySet().iterator().next();
      views.replaceAll(
          view ->
              view.endpoint().name().equals(endpointBelowLimit)
                  ? new EndpointView(view.endpoint(), 8, 7, 0, 0, 900, 1, 1.0, true)
                  : view);
      assertEquals(Map.of(endpointBelowLimit, 1_000), choices(policy, request, views));
    }
  }

  @Nested
  class Affinity {
    private final RoutingPolicy policy = policy("least-cost-affinity");
    private final RequestShape request = RoutingTestData.request(10);
    private final List<EndpointView> views =
        List.of(
            RoutingTestData.view("a", 2, 0),
            RoutingTestData.view("b", 1, 0),
            RoutingTestData.view("c", 1, 0));

    private boolean prefersA() {
      return choices(policy, request, views).getOrDefault("a", 0) == 1_000;
    }

    /**
     * Guards against prefixes that are computed again because the request went to another endpoint.
     */
    @Test
    void prefersTheEndpointWithThePrefixUntilTheHintIsOld() {
      assertFalse(prefersA());
      hints.recordPlacement("run", 7, "b");
      assertEquals(Map.of("b", 1_000), choices(policy, request, views));
      nanos += 121_000_000_000L;
      assertFalse(choices(policy, request, views).get("b") == 1_000);
    }

    /** Guards against an endpoint that is overloaded because of one popular prefix. */
    @Test
    void isBoundedByTheLoad() {
      hints.recordPlacement("run", 7, "a");
      assertFalse(prefersA());
    }

    /** Guards against hints on blocks that the engine has evicted, or may have evicted. */
    @Test
    void followsTheCacheEvents() {
      hints.recordPlacement("run", 7, "b");
      hints.recordStored("b", "run", List.of("1", "2"));
      hints.recordEvicted("b", List.of("9"));
      assertEquals(List.of("b"), hints.find(7));
      hints.recordEvicted("b", List.of("2"));
      assertEquals(List.of(), hints.find(7));
      hints.recordStored("c", "run", List.of("1"));
      hints.recordGap("c");
      nanos += 21_000_000_000L;
      assertEquals(List.of(), hints.find(7));
    }
  }
}
