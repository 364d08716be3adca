package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against live requests that are late because slow engines get as many as fast ones, in the
 * peaks of {@link PeakLoadSimulation}. The baselines are the scheme that does not know speeds, and
 * a placement that knows the exact counts and speeds at each moment.
 */
class UnevenSpeedsTest {
  private static String figures(double observed, double unknown, double exact) {
    return "observed " + observed + ", unknown " + unknown + ", exact " + exact;
  }

  private static PeakLoad exact(PeakLoad load) {
    return load.withExchange(PeakLoad.Exchange.EXACT);
  }

  @Nested
  class NineInstances {
    private static final PeakLoad LOAD = PeakLoad.TYPICAL.withEngines(6);

    @Test
    void serveMoreOnTimeThanWithoutSpeeds() {
      double unknown =
          PeakLoadSimulation.mean(LOAD, SimulatedSpeeds.UNEVEN_UNKNOWN, 5, 100).liveOnTime();
      double exact =
          PeakLoadSimulation.mean(exact(LOAD), SimulatedSpeeds.UNEVEN_TOLD, 3, 100).liveOnTime();
      double observed = PeakLoadSimulation.mean(LOAD, SimulatedSpeeds.UNEVEN, 5, 100).liveOnTime();
      String figures = figures(observed, unknown, exact);
      assertTrue(observed > unknown && observed >= 0.9 * exact, figures);
    }
  }

  @Nested
  class ThirtyTwoInstances {
    private static final PeakLoad LOAD =
        new PeakLoad(
            PeakLoad.Exchange.HUBS, 6, 32, 10, 72, 0.377, 1.84, 720, 0.89, 4_900, 18_000, 0, 0, 0);

    @Test
    void serveMoreOnTimeThanWithoutSpeeds() {
      double unknown =
          PeakLoadSimulation.mean(LOAD, SimulatedSpeeds.UNEVEN_UNKNOWN, 3, 50).liveOnTime();
      double exact =
          PeakLoadSimulation.mean(exact(LOAD), SimulatedSpeeds.UNEVEN_TOLD, 1, 50).liveOnTime();
      double observed = PeakLoadSimulation.mean(LOAD, SimulatedSpeeds.UNEVEN, 3, 50).liveOnTime();
      String figures = figures(observed, unknown, exact);
      assertTrue(observed > unknown && observed >= 0.9 * exact, figures);
    }
  }

  /** Guards against a loss where there is nothing to gain: engines that are equally fast. */
  @Test
  void serveAsManyOnTimeAtEqualSpeeds() {
    SimulatedSpeeds before =
        new SimulatedSpeeds(SimulatedSpeeds.EQUAL.slowness(), SlotWeightedPlacement::choose);
    PeakLoad load = PeakLoad.TYPICAL;
    double unknown = PeakLoadSimulation.mean(load, before, 5, 100).liveOnTime();
    double observed = PeakLoadSimulation.mean(load, 5, 100).liveOnTime();
    // The means of five seeds differ by up to 0.003.
    assertTrue(observed >= unknown - 0.003, "observed " + observed + ", before " + unknown);
  }
}
