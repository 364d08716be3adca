package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Guards against live requests that wait behind batch items, and against starved batch items. Each
 * test takes the means of five simulations, with the seeds 1 to 5, of 150 seconds each. The typical
 * load runs on eight engines.
 */
class PeakLoadSimulationTest {
  @Nested
  class TypicalLoad {
    @Test
    void keepsLiveRequestsOnTimeAndFinishesItemsBeforeTheyAreDue() {
      PeakLoadSimulation.Figures figures = PeakLoadSimulation.mean(PeakLoad.TYPICAL, 5, 150);
      assertTrue(figures.liveOnTime() >= 0.98, figures.toString());
      assertTrue(figures.itemsOnTime() >= 0.95, figures.toString());
    }
  }

  /**
   * After an outage, 140 late requests arrive within half a second, at the start of a load peak.
   */
  @Nested
  class EndOfOutage {
    @Test
    void leavesSlotsToRequestsThatCanStillBeOnTime() {
      PeakLoadSimulation.Figures figures =
          PeakLoadSimulation.mean(PeakLoad.TYPICAL.withReturning(140), 5, 150);
      // Fresh requests are new ones that arrive within 2 s after the late ones begin to arrive.
      assertTrue(figures.freshOnTime() >= 0.75, figures.toString());
      assertTrue(figures.unserved() <= 0.01, figures.toString());
    }
  }

  /** At the start, 400 items are late already, as after an outage. */
  @Nested
  class LateItems {
    @Test
    void takeNoSlotsFromItemsOfOtherInstancesThatCanBeOnTime() {
      PeakLoadSimulation.Figures figures =
          PeakLoadSimulation.mean(PeakLoad.TYPICAL.withLateItems(400), 5, 150);
      assertTrue(figures.liveOnTime() >= 0.98, figures.toString());
      assertTrue(figures.itemsOnTime() >= 0.95, figures.toString());
    }
  }

  /**
   * In a large fleet each instance has a few requests only, and decides by sums that are some tens
   * of milliseconds old. One simulation each, of 50 s and 25 s.
   */
  @Nested
  class LargeFleet {
    @Test
    void keepsLiveRequestsAndItemsOnTimeOnEightyInstances() {
      PeakLoadSimulation.Figures figures = PeakLoadSimulation.mean(PeakLoad.LARGE, 1, 50);
      assertTrue(figures.liveOnTime() >= 0.95, figures.toString());
      assertTrue(figures.itemsOnTime() >= 0.95, figures.toString());
    }

    /** An instance receives as many messages as in a fleet of a fifth of the size. */
    @Test
    @Tag("known-red")
    void costsAnInstanceNoMoreOnFourHundredAndTenInstances() {
      PeakLoadSimulation.Figures figures = PeakLoadSimulation.mean(PeakLoad.VERY_LARGE, 1, 25);
      assertTrue(figures.liveOnTime() >= 0.95, figures.toString());
      assertTrue(figures.messages() <= 150, figures.toString());
    }
  }

  @Nested
  class LossOfEngines {
    @Test
    void keepsLiveRequestsAndMostItemsOnTimeOnSevenEngines() {
      PeakLoadSimulation.Figures figures =
          PeakLoadSimulation.mean(PeakLoad.TYPICAL.withEngines(7), 5, 150);
      assertTrue(figures.liveOnTime() >= 0.95, figures.toString());
      assertTrue(figures.itemsOnTime() >= 0.85, figures.toString());
    }

    @Test
    void keepsLiveRequestsOnTimeOnSixEngines() {
      PeakLoadSimulation.Figures figures =
          PeakLoadSimulation.mean(PeakLoad.TYPICAL.withEngines(6), 5, 150);
      assertTrue(figures.liveOnTime() >= 0.8, figures.toString());
    }
  }
}
