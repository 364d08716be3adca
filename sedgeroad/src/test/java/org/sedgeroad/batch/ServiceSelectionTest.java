package org.sedgeroad.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.gateway.BatchOptions;
import org.sedgeroad.gateway.Route;
import org.sedgeroad.gateway.RouteKind;
import org.sedgeroad.gateway.WeightedService;
import org.sedgeroad.placement.ServiceState;

/** Guards against items of a split route that wait for one service while others could run them. */
class ServiceSelectionTest {
  private static final int ITEMS = 1_000;
  private static final long AMPLE_SLACK_NANOS = 10_000_000_000L;

  private final Map<String, ServiceState> states = new HashMap<>();

  /** Returns the numbers of items by the service that is selected for them. */
  private Map<String, Integer> select(Route route, int endedRuns, long slackNanos) {
    Map<String, Integer> counts = new HashMap<>();
    ServiceSelection selection =
        new ServiceSelection(service -> states.getOrDefault(service, ServiceState.FREE));
    for (int index = 0; index < ITEMS; index++) {
      OwnedItem item = new OwnedItem(null, new ItemSpec("i" + index, "/", Map.of(), "", 1), 0);
      for (int run = 0; run < endedRuns; run++) {
        item.addEndedRun();
      }
      counts.merge(selection.serviceFor(item, route, () -> slackNanos), 1, Integer::sum);
    }
    return counts;
  }

  private Map<String, Integer> select(Route route) {
    return select(route, 0, AMPLE_SLACK_NANOS);
  }

  private static Route split(int first, int middle, int last) {
    return new Route(
        "r",
        "desk.example",
        "/a/",
        RouteKind.BATCH,
        List.of(
            new WeightedService("first", first),
            new WeightedService("middle", middle),
            new WeightedService("last", last)),
        0,
        3,
        1_000,
        100,
        false,
        BatchOptions.NONE);
  }

  /** Asserts a share of the items, within 5 of 100 items. */
  private static void assertShare(double share, int count) {
    assertEquals(share, (double) count / ITEMS, 0.05);
  }

  @Nested
  class Shares {
    /** All items went to the first service of a split. */
    @Test
    void followTheWeights() {
      Map<String, Integer> counts = select(split(30, 60, 10));
      assertShare(0.3, counts.get("first"));
      assertShare(0.6, counts.get("middle"));
      assertShare(0.1, counts.get("last"));
    }

    @Test
    void followTheWeightsAlsoAfterRunsThatEnded() {
      Map<String, Integer> counts = select(split(30, 60, 10), 3, AMPLE_SLACK_NANOS);
      assertShare(0.3, counts.get("first"));
      assertShare(0.6, counts.get("middle"));
      assertShare(0.1, counts.get("last"));
    }

    @Test
    void areNoneForAWeightOfZero() {
      assertEquals(Map.of("middle", ITEMS), select(split(0, 5, 0)));
      states.put("middle", ServiceState.WITHOUT_ENDPOINTS);
      assertEquals(Map.of("middle", ITEMS), select(split(0, 5, 0)));
    }
  }

  @Nested
  class Item {
    /** The items of a service whose only endpoint was lost were never run. */
    @Test
    void leavesAServiceThatCanRunNone() {
      for (ServiceState state : List.of(ServiceState.WITHOUT_ENDPOINTS, ServiceState.SUSPECT)) {
        for (String lost : List.of("first", "middle", "last")) {
          states.clear();
          states.put(lost, state);
          Map<String, Integer> counts = select(split(30, 60, 10));
          assertEquals(2, counts.size());
          assertEquals(null, counts.get(lost));
        }
      }
    }

    @Test
    void returnsToAServiceWhoseEndpointsAreBack() {
      states.put("middle", ServiceState.WITHOUT_ENDPOINTS);
      select(split(30, 60, 10));
      states.put("middle", ServiceState.FREE);
      assertShare(0.6, select(split(30, 60, 10)).get("middle"));
    }

    /** A service whose endpoints reject all items, without being lost, binds none. */
    @Test
    void isSelectedAnewAfterARun() {
      ServiceSelection selection = new ServiceSelection(service -> ServiceState.FREE);
      OwnedItem item = new OwnedItem(null, new ItemSpec("i", "/", Map.of(), "", 1), 0);
      Map<String, Integer> counts = new HashMap<>();
      for (int run = 0; run < 100; run++) {
        String service = selection.serviceFor(item, split(30, 60, 10), () -> AMPLE_SLACK_NANOS);
        counts.merge(service, 1, Integer::sum);
        item.addEndedRun();
      }
      assertEquals(3, counts.size());
    }

    @Test
    void waitsForAFullServiceWhileItCanBeOnTime() {
      states.put("middle", ServiceState.FULL);
      assertShare(0.6, select(split(30, 60, 10)).get("middle"));
    }

    @Test
    void takesAnyFreeSlotBeforeItIsLate() {
      states.put("middle", ServiceState.FULL);
      for (long slackNanos : new long[] {1_000_000_000L, -1}) {
        assertEquals(null, select(split(30, 60, 10), 0, slackNanos).get("middle"));
      }
    }
  }
}
