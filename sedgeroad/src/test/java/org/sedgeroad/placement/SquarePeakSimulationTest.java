package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against items that start only to be preempted again. Each test takes the means of three
 * simulations, with the seeds 1 to 3, of 100 seconds each; the baseline starts items in any free
 * slot.
 */
class SquarePeakSimulationTest {
  private static PeakLoadSimulation.Figures run(PeakLoad load, boolean forecasts) {
    return PeakLoadSimulation.mean(load, 3, 100, forecasts);
  }

  @Test
  void startsItemsLessThanTwiceAndKeepsAllWorkOnTimeUnderSquarePeaks() {
    PeakLoadSimulation.Figures baseline = run(PeakLoad.SQUARE, false);
    PeakLoadSimulation.Figures figures = run(PeakLoad.SQUARE, true);
    String all = figures + ", without forecast " + baseline;
    assertTrue(1 + figures.preemptions() <= 2, all);
    assertTrue(figures.preemptions() < baseline.preemptions(), all);
    assertTrue(figures.liveOnTime() >= baseline.liveOnTime(), all);
    assertTrue(figures.itemsOnTime() >= baseline.itemsOnTime(), all);
  }

  @Test
  void startsFewItemsAgainUnderASteadyLoad() {
    PeakLoadSimulation.Figures figures = run(PeakLoad.STEADY, true);
    assertTrue(1 + figures.preemptions() <= 1.3, figures.toString());
    assertTrue(figures.liveOnTime() >= 0.99, figures.toString());
    assertTrue(figures.itemsOnTime() >= 0.99, figures.toString());
  }
}
