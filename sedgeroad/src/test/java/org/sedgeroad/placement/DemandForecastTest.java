package org.sedgeroad.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

/** Guards against peaks that are not expected, and against expected ones that do not come. */
class DemandForecastTest {
  private final DemandHistory history = new DemandHistory();

  /** Observes a demand for 20 s, every 50 ms, with the variation of independent requests. */
  private DemandForecast forecast(DoubleUnaryOperator demandAtSeconds, double seconds) {
    Random random = new Random(1);
    for (int step = 0; step < seconds * 20; step++) {
      double mean = demandAtSeconds.applyAsDouble(step / 20.0);
      long slots = Math.round(mean + Math.sqrt(mean) * random.nextGaussian());
      history.observe((int) slots, step * 50_000_000L);
    }
    return history.forecast();
  }

  private static double square(double seconds) {
    return seconds % 6.6 < 3.8 ? 40 : 180;
  }

  @Test
  void expectsTheNextOfRepeatedPeaks() {
    // 22.0 s is 2.2 s after the beginning of a trough, 1.6 s before the next peak.
    DemandForecast forecast = forecast(DemandForecastTest::square, 22.0);
    assertEquals(6_600, forecast.periodMillis(), 200);
    assertTrue(forecast.peakWithin(1_000) < 80, "within 1 s: " + forecast.peakWithin(1_000));
    assertTrue(forecast.peakWithin(2_400) > 150, "within 2.4 s: " + forecast.peakWithin(2_400));
  }

  @Test
  void expectsTheEndOfAPeak() {
    // 25.6 s is 0.8 s before the end of a peak.
    DemandForecast forecast = forecast(DemandForecastTest::square, 25.6);
    assertTrue(forecast.peakWithin(200) > 150);
    assertTrue(forecast.mean() > 80 && forecast.mean() < 120, "mean: " + forecast.mean());
  }

  @Test
  void expectsNothingFromASteadyLoad() {
    assertFalse(forecast(seconds -> 100, 22).isPeriodic());
  }

  @Test
  void expectsNothingFromOneJump() {
    for (double jump = 2; jump < 20; jump += 1) {
      double at = jump;
      DemandForecast forecast =
          new DemandForecastTest().forecast(seconds -> seconds < at ? 40 : 180, 20);
      assertFalse(forecast.isPeriodic(), "jump after " + at + " s");
    }
  }

  @Test
  void expectsNothingFromAShortHistoryOrAfterAGap() {
    assertFalse(forecast(DemandForecastTest::square, 7).isPeriodic());
    DemandHistory interrupted = new DemandHistory();
    for (int step = 0; step < 440; step++) {
      interrupted.observe((int) square(step / 20.0), step * 50_000_000L);
    }
    assertTrue(interrupted.forecast().isPeriodic());
    interrupted.observe(100, 440 * 50_000_000L + 5_000_000_000L);
    assertFalse(interrupted.forecast().isPeriodic());
  }
}
