package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against refusals that are not needed, and against clients that return in vain. */
class ScarcityPolicyTest {
  private static final FairShare FAIR = new FairShare("fair", 50, 60, 50);
  private static final FairShare HOT = new FairShare("hot", 100, 100, 40);
  private static final long HOLD_NANOS = 720_000_000;
  private static final long OBJECTIVE_NANOS = 300_000_000;
  private static final long DEADLINE_NANOS = 5_000_000_000L;

  private static ScarcityPolicy.Arrival arrival(FairShare share, int before, long objectiveLeft) {
    return new ScarcityPolicy.Arrival(
        share,
        before,
        Math.min(before, share.waiting()),
        240,
        HOLD_NANOS,
        objectiveLeft,
        DEADLINE_NANOS);
  }

  private static boolean isRefused(FairShare share, int before, long objectiveLeft) {
    return ScarcityPolicy.decide(arrival(share, before, objectiveLeft), 0).isPresent();
  }

  @Test
  void refusesAWorkspaceFarAboveItsShareWhoseWaitExceedsTheObjective() {
    // 100 waiting requests at 100 slots of 0.72 s each.
    assertTrue(isRefused(HOT, 100, OBJECTIVE_NANOS));
    assertTrue(!isRefused(HOT, 20, OBJECTIVE_NANOS));
    assertTrue(!isRefused(FAIR, 300, OBJECTIVE_NANOS));
  }

  @Test
  void letsRequestsThatHaveReturnedWait() {
    assertTrue(!isRefused(HOT, 300, -1));
  }

  @Test
  void refusesWhatCanNotBeServedBeforeItsDeadline() {
    assertTrue(!isRefused(FAIR, 1_600, OBJECTIVE_NANOS));
    assertTrue(isRefused(FAIR, 1_700, OBJECTIVE_NANOS));
    assertTrue(isRefused(FAIR, 1_700, -1));
  }

  /** In a trough nothing waits; without releases of slots nothing is known. */
  @Test
  void refusesNothingWithoutAWait() {
    assertTrue(!isRefused(HOT, 0, OBJECTIVE_NANOS));
    assertTrue(
        ScarcityPolicy.decide(
                new ScarcityPolicy.Arrival(HOT, 999, 99, 240, 0, 1, DEADLINE_NANOS), 0)
            .isEmpty());
  }

  @Test
  void spreadsTheReturnOfClientsWithinAThirdOfTheirTime() {
    ScarcityPolicy.Arrival shortWait = arrival(HOT, 100, OBJECTIVE_NANOS);
    assertEquals(720e6, returnNanos(shortWait, 0), 1e6);
    assertEquals(1_440e6, returnNanos(shortWait, 0.999_999), 1e6);
    ScarcityPolicy.Arrival longWait = arrival(HOT, 1_700, OBJECTIVE_NANOS);
    assertEquals(833e6, returnNanos(longWait, 0), 1e6);
    assertEquals(1_667e6, returnNanos(longWait, 0.999_999), 1e6);
  }

  private static double returnNanos(ScarcityPolicy.Arrival arrival, double random) {
    return ScarcityPolicy.decide(arrival, random).orElseThrow().returnNanos();
  }
}
