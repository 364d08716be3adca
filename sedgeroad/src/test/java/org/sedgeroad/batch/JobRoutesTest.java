package org.sedgeroad.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.gateway.BatchOptions;
import org.sedgeroad.gateway.Route;
import org.sedgeroad.gateway.RouteKind;
import org.sedgeroad.gateway.RouteTable;
import org.sedgeroad.gateway.RouteTableHolder;
import org.sedgeroad.gateway.WeightedService;

/** Guards against items that wait without end, or end too soon, because their job has no route. */
class JobRoutesTest {
  private static final String HOST = "desk.example";
  private static final long RETURN_NANOS = JobRoutes.RETURN_MILLIS * 1_000_000L;

  private final RouteTableHolder holder = new RouteTableHolder();
  private long peerVersion;
  private final JobRoutes routes = new JobRoutes(holder, now -> peerVersion);
  private final JobHead job = acceptedUnder(5);

  private static JobHead acceptedUnder(long configurationVersion) {
    return new JobHead(
        "j1",
        HOST + ":80",
        "/batch/j1",
        0,
        1,
        1,
        10,
        "edge-0",
        "notices",
        configurationVersion,
        "",
        false);
  }

  private static Route route(String name, String prefix, RouteKind kind) {
    return new Route(
        name,
        HOST,
        prefix,
        kind,
        List.of(new WeightedService("engine", 1)),
        0,
        3,
        5_000,
        300,
        true,
        new BatchOptions(10_000, 1_000));
  }

  /** Applies a configuration at a time in nanoseconds. */
  private void apply(long version, long nowNanos, Route... configured) {
    holder.apply(RouteTable.of(version, List.of(configured), Map.of(), RouteTable.EMPTY.limits()));
    routes.observe(nowNanos);
  }

  private static Route batch() {
    return route("notices", "/batch/", RouteKind.BATCH);
  }

  @Nested
  class Dropped {
    @Test
    void givesItemsUpAfterTheReturnTime() {
      apply(5, 0, batch());
      apply(6, 100);
      assertFalse(routes.hasEnded(job, 99 + RETURN_NANOS));
      assertTrue(routes.hasEnded(job, 100 + RETURN_NANOS));
    }

    /** A new owner would otherwise begin to wait anew at each takeover. */
    @Test
    void countsFromTheDropAlsoIfLaterVersionsFollow() {
      apply(5, 0, batch());
      apply(6, 100);
      apply(7, RETURN_NANOS / 2);
      apply(9, RETURN_NANOS);
      assertFalse(routes.hasEnded(job, 99 + RETURN_NANOS));
      assertTrue(routes.hasEnded(job, 100 + RETURN_NANOS));
    }

    /** The record of a drop is removed when it is older than the return time. */
    @Test
    void staysGivenUpAfterMuchLaterVersions() {
      apply(5, 0, batch());
      apply(6, 100);
      apply(7, 5 * RETURN_NANOS);
      assertTrue(routes.hasEnded(job, 5 * RETURN_NANOS));
    }

    @Test
    void countsAnewIfTheRouteWasBackMeanwhile() {
      apply(5, 0, batch());
      apply(6, 100);
      apply(7, 200, batch());
      assertFalse(routes.hasEnded(job, 100 + RETURN_NANOS));
      apply(8, RETURN_NANOS);
      assertFalse(routes.hasEnded(job, 100 + RETURN_NANOS));
      assertTrue(routes.hasEnded(job, 2 * RETURN_NANOS));
    }

    @Test
    void countsFromTheFirstConfigurationIfItWasDroppedBefore() {
      apply(6, 100);
      assertFalse(routes.hasEnded(job, 99 + RETURN_NANOS));
      assertTrue(routes.hasEnded(job, 100 + RETURN_NANOS));
    }

    @Test
    void isNotDecidedWhileAnotherInstanceHasANewerConfiguration() {
      apply(5, 0, batch());
      apply(6, 100);
      peerVersion = 7;
      assertFalse(routes.hasEnded(job, 2 * RETURN_NANOS));
      assertFalse(routes.hasEnded(job, 3 * RETURN_NANOS));
      apply(7, 4 * RETURN_NANOS);
      assertTrue(routes.hasEnded(job, 4 * RETURN_NANOS));
    }

    /** The record of the drop was removed by age, although the wait had not been decided. */
    @Test
    void isRememberedWhileAnotherInstanceHasANewerConfiguration() {
      apply(5, 0, batch());
      apply(6, 2 * RETURN_NANOS);
      peerVersion = 9;
      routes.observe(2 * RETURN_NANOS + 1);
      apply(7, 4 * RETURN_NANOS);
      assertFalse(routes.hasEnded(job, 4 * RETURN_NANOS));
      apply(9, 5 * RETURN_NANOS);
      assertTrue(routes.hasEnded(job, 5 * RETURN_NANOS));
    }

    /** The origin of the monotonic clock is arbitrary. */
    @Test
    void isNotDecidedTooSoonIfTheClockIsNegative() {
      peerVersion = 7;
      apply(6, -5 * RETURN_NANOS);
      assertFalse(routes.hasEnded(job, -5 * RETURN_NANOS + 1));
    }

    /** With frequent changes, some instance is always newer than this one. */
    @Test
    void isDecidedOnceThisInstanceHasTheVersionThatOthersHadAtTheEndOfTheWait() {
      apply(5, 0, batch());
      apply(6, 100);
      peerVersion = 7;
      assertFalse(routes.hasEnded(job, 100 + RETURN_NANOS));
      peerVersion = 9;
      assertFalse(routes.hasEnded(job, 200 + RETURN_NANOS));
      apply(7, 300 + RETURN_NANOS);
      assertTrue(routes.hasEnded(job, 300 + RETURN_NANOS));
    }

    @Test
    void isARouteWhosePrefixAnotherKindServes() {
      apply(5, 0, batch());
      apply(6, 100, route("chat", "/", RouteKind.STREAMING));
      assertEquals(Optional.empty(), routes.find(job));
      assertTrue(routes.hasEnded(job, 100 + RETURN_NANOS));
    }

    @Test
    void isARouteWhoseKindChanged() {
      apply(5, 0, batch());
      apply(6, 100, route("notices", "/batch/", RouteKind.IDEMPOTENT));
      assertTrue(routes.hasEnded(job, 100 + RETURN_NANOS));
    }

    @Test
    void isNoRouteThatAShorterBatchRouteReplaces() {
      apply(5, 0, batch());
      apply(6, 100, route("all", "/", RouteKind.BATCH));
      assertEquals("all", routes.find(job).map(Route::name).orElse(""));
      assertFalse(routes.hasEnded(job, 2 * RETURN_NANOS));
    }
  }

  @Nested
  class NotKnownYet {
    /** Giving up would list an item as dead before the end of its route. */
    @Test
    void keepsItemsOfAJobThatWasAcceptedUnderANewerConfiguration() {
      apply(5, 0, batch());
      apply(6, 100);
      assertFalse(routes.hasEnded(acceptedUnder(7), 5 * RETURN_NANOS));
      assertFalse(routes.hasEnded(acceptedUnder(6), 5 * RETURN_NANOS));
    }

    @Test
    void keepsItemsWithoutAConfiguration() {
      assertFalse(routes.hasEnded(job, 5 * RETURN_NANOS));
      assertFalse(routes.hasEnded(acceptedUnder(0), 5 * RETURN_NANOS));
    }
  }

  @Nested
  class LimitName {
    @Test
    void isTheCurrentNameOfTheRoute() {
      apply(6, 0, route("renamed", "/batch/", RouteKind.BATCH));
      assertEquals("renamed", routes.limitName(job));
    }

    /** A route that comes back would otherwise accept more than its limit. */
    @Test
    void staysTheNameOfADroppedRoute() {
      apply(6, 0);
      assertEquals("notices", routes.limitName(job));
    }
  }
}
