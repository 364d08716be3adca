package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
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
      PeakLoadSimulation.Figures figures =
          PeakLoadSimulation.mean(PeakLoadSimulation.Load.TYPICAL, 5, 150);
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
          PeakLoadSimulation.mean(PeakLoadSimulation.Load.TYPICAL.withReturning(140), 5, 150);
      // Fresh requests are new ones that arrive within 2 s after the late ones begin to arrive.
      assertTrue(figures.freshOnTime() >= 0.75, figures.toString());
      assertTrue(figures.unserved() <= 0.01, figures.toString());
    }
  }

  @Nested
  class LossOfEngines {
    @Test
    void keepsLiveRequestsAndMostItemsOnTimeOnSevenEngines() {
      PeakLoadSimulation.Figures figures =
          PeakLoadSimulation.mean(PeakLoadSimulation.Load.TYPICAL.withEngines(7), 5, 150);
      assertTrue(figures.liveOnTime() >= 0.95, figures.toString());
      assertTrue(figures.itemsOnTime() >= 0.85, figures.toString());
    }

    @Test
    void keepsLiveRequestsOnTimeOnSixEngines() {
      PeakLoadSimulation.Figures figures =
          PeakLoadSimulation.mean(PeakLoadSimulation.Load.TYPICAL.withEngines(6), 5, 150);
      assertTrue(figures.liveOnTime() >= 0.8, figures.toString());
    }
  }
}
