package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against live requests that wait behind batch items, and batch items that starve. */
class SwingReplayTest {
  @Nested
  class TypicalLoad {
    @Test
    void keepsLiveRequestsOnTimeAndFinishesItemsBeforeTheyAreDue() {
      SwingReplay.Figures figures = SwingReplay.mean(SwingReplay.Load.TYPICAL, 5, 150);
      assertTrue(figures.liveOnTime() >= 0.98, figures.toString());
      assertTrue(figures.itemsOnTime() >= 0.95, figures.toString());
    }
  }

  /** All clients of an outage return within half a second, at the top of a swing. */
  @Nested
  class EndOfOutage {
    @Test
    void leavesThePlacesToRequestsThatCanStillBeInTime() {
      SwingReplay.Figures figures =
          SwingReplay.mean(SwingReplay.Load.TYPICAL.withReturning(140), 5, 150);
      assertTrue(figures.freshOnTime() >= 0.75, figures.toString());
      assertTrue(figures.unserved() <= 0.01, figures.toString());
    }
  }

  @Nested
  class LossOfEngines {
    @Test
    void keepsItemsGoingOnSevenEngines() {
      SwingReplay.Figures figures =
          SwingReplay.mean(SwingReplay.Load.TYPICAL.withEngines(7), 5, 150);
      assertTrue(figures.liveOnTime() >= 0.95, figures.toString());
      assertTrue(figures.itemsOnTime() >= 0.85, figures.toString());
    }

    @Test
    void keepsLiveRequestsOnTimeOnSixEngines() {
      SwingReplay.Figures figures =
          SwingReplay.mean(SwingReplay.Load.TYPICAL.withEngines(6), 5, 150);
      assertTrue(figures.liveOnTime() >= 0.8, figures.toString());
    }
  }
}
