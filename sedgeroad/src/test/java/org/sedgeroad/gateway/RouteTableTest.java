package org.sedgeroad.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against wrongly routed requests and against a return to an older configuration. */
class RouteTableTest {
  private static Route route(String name, String prefix, WeightedService... services) {
    return new Route(
        name,
        "desk.example",
        prefix,
        RouteKind.IDEMPOTENT,
        List.of(services),
        0,
        1,
        1_000,
        100,
        false,
        BatchOptions.NONE);
  }

  private static RouteTable table(long version, Route... routes) {
    return RouteTable.of(version, List.of(routes), Map.of(), RouteTable.EMPTY.limits());
  }

  @Nested
  class Match {
    private final RouteTable table =
        table(
            1,
            route("short", "/a/", new WeightedService("s", 1)),
            route("long", "/a/b/", new WeightedService("s", 1)));

    @Test
    void takesTheLongestPrefixOfTheHost() {
      assertEquals("long", table.match("desk.example", "/a/b/c").orElseThrow().name());
      assertEquals("short", table.match("desk.example:80", "/a/bc").orElseThrow().name());
    }

    /** Each look-up in a list of all routes took longer with each route. */
    @Test
    void findsEachOfManyRoutes() {
      Route[] routes = new Route[20_000];
      for (int number = 0; number < routes.length; number++) {
        routes[number] = route("r" + number, "/" + number + "/", new WeightedService("s", 1));
      }
      RouteTable many = table(1, routes);
      assertTimeoutPreemptively(
          Duration.ofSeconds(2),
          () -> {
            for (int number = 0; number < routes.length; number++) {
              String path = "/" + number + "/x";
              assertEquals("r" + number, many.match("desk.example", path).orElseThrow().name());
            }
          });
    }

    @Test
    void findsNothingElsewhere() {
      assertEquals(Optional.empty(), table.match("other.example", "/a/b/c"));
      assertEquals(Optional.empty(), table.match("desk.example", "/b/"));
    }
  }

  @Nested
  class Services {
    @Test
    void receiveRequestsByWeight() {
      Route route =
          route("r", "/a/", new WeightedService("most", 90), new WeightedService("few", 10));
      assertEquals("most", route.serviceFor(0.89));
      assertEquals("few", route.serviceFor(0.91));
    }

    @Test
    void withZeroWeightReceiveNone() {
      Route route = route("r", "/a/", new WeightedService("old", 0), new WeightedService("new", 1));
      assertEquals("new", route.serviceFor(0));
      assertFalse(route.allows("old"));
      assertEquals("new", route.serviceFor(0, "old"::equals));
    }

    /** A request for a service without endpoints was refused while another service was idle. */
    @Test
    void thatAreNotAvailableReceiveNone() {
      Route route =
          route(
              "r",
              "/a/",
              new WeightedService("first", 30),
              new WeightedService("middle", 60),
              new WeightedService("last", 10));
      for (String lost : List.of("first", "middle", "last")) {
        for (double choice = 0; choice < 1; choice += 0.01) {
          assertNotEquals(lost, route.serviceFor(choice, service -> !service.equals(lost)));
        }
      }
      assertEquals(
          "first",
          route.serviceFor(0.74, service -> !service.equals("last") && !service.equals("middle")));
      assertEquals("middle", route.serviceFor(0.5, service -> false));
    }
  }

  @Nested
  class Holder {
    @Test
    void neverReturnsToAnOlderVersion() {
      RouteTableHolder holder = new RouteTableHolder();
      assertFalse(holder.isKnown());
      assertTrue(holder.apply(table(7)));
      assertFalse(holder.apply(table(5)));
      assertFalse(holder.apply(table(7)));
      assertEquals(7, holder.current().version());
    }
  }
}
