package org.sedgeroad.testing.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.sedgeroad.testing.load.EngineRuns;
import org.sedgeroad.testing.load.LiveRecord;
import org.sedgeroad.testing.load.LoadResult;

/** Static methods that turn measurements into chart lines over time. */
final class TimeSeries {
  private static final long STEP_MICROS = 500_000;

  private TimeSeries() {}

  /**
   * Returns a percentile (0 to 100) of the time to first token of complete answers, in milliseconds
   * for each half second.
   */
  static Chart.Line firstTokenLatency(String name, LoadResult result, double percentile) {
    Map<Long, Histogram> steps = new TreeMap<>();
    for (LiveRecord record : result.records()) {
      if (record.isWhole()) {
        long step = (record.startMicros() - result.startMicros()) / STEP_MICROS;
        steps
            .computeIfAbsent(step, key -> LoadResult.histogram())
            .recordValue(Math.max(0, record.firstTokenNanos()));
      }
    }
    List<Chart.Point> points = new ArrayList<>();
    steps.forEach(
        (step, histogram) ->
            points.add(
                new Chart.Point(
                    step * STEP_MICROS / 1e6, histogram.getValueAtPercentile(percentile) / 1e6)));
    return new Chart.Line(name, points);
  }

  /** Returns the batch items finished per second, for each half second. */
  static Chart.Line batchThroughput(String name, EngineRuns runs, long fromMicros, long toMicros) {
    List<Chart.Point> points = new ArrayList<>();
    for (long time = fromMicros; time + STEP_MICROS <= toMicros; time += STEP_MICROS) {
      double rate = runs.batchItemsPerSecond(time, time + STEP_MICROS);
      points.add(new Chart.Point((time - fromMicros) / 1e6, rate));
    }
    return new Chart.Line(name, points);
  }
}
