package org.sedgeroad.testing.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.load.LengthMix;
import org.sedgeroad.testing.load.LoadResult;

/** Measures the latency of short requests while 2% of the requests are 30 times longer. */
final class HeadOfLineExperiment implements Experiment {
  /**
   * Fraction of all slots that live requests take if all of them are short. With 2% of them 30
   * times longer the fraction is 0.45 × (1 + 0.02 × 29) = 71%.
   */
  private static final double LIVE_FRACTION = 0.45;

  private static final double SECONDS = 4.5;
  private static final double LONG_FRACTION = 0.02;
  private static final int LONG_FACTOR = 30;

  /** Answers of 8 tokens. A long answer has 240 and still ends within the measured time. */
  private static final LengthMix SHORT = new LengthMix(100, 1_000, 8, 8, 0, 1);

  private static final String RATIO = "short-p99-first-token-ratio";

  /** Figures of one policy, and its time to first token over the run. */
  private record Measured(Map<String, Double> figures, Chart.Line line) {}

  @Override
  public ExperimentResult run(Bench bench) {
    Measured withDefaults = measure(bench, Policy.DEFAULT);
    Map<String, Map<String, Double>> baselines = new LinkedHashMap<>();
    List<Chart.Line> lines = new ArrayList<>(List.of(withDefaults.line));
    for (Policy policy : List.of(Policy.ROUND_ROBIN, Policy.LEAST_OUTSTANDING)) {
      Measured measured = measure(bench, policy);
      baselines.put(policy.name(), measured.figures);
      lines.add(measured.line);
    }
    return new ExperimentResult(
        "head-of-line",
        bench.seed(),
        Figure.atMost(withDefaults.figures, Map.of(RATIO, Targets.HEAD_OF_LINE_RATIO)),
        baselines,
        List.of(),
        List.of(
            new Chart(
                "Time to first token beside long requests, p99 per 0.5 s", "s", "ms", lines)));
  }

  private static Measured measure(Bench bench, Policy policy) {
    try (Deployment deployment = bench.deploy(Bench.fullPlan(), policy)) {
      double rate = Bench.arrivalRate(deployment.plan(), SHORT, LIVE_FRACTION);
      bench.printProgress("short requests only, " + Math.round(rate) + " requests/s");
      LoadResult without =
          bench.startPoissonLoad(deployment, "without", SHORT, rate, SECONDS).await();
      bench.printProgress("2% of the requests 30 times longer");
      LengthMix mix = SHORT.withLong(LONG_FRACTION, LONG_FACTOR);
      LoadResult with = bench.startPoissonLoad(deployment, "with", mix, rate, SECONDS).await();
      double before = shortPercentile(without, 99);
      double beside = shortPercentile(with, 99);
      Map<String, Double> figures = new LinkedHashMap<>();
      figures.put(RATIO, beside / before);
      figures.put("short-p99-first-token-without-ms", before);
      figures.put("short-p99-first-token-with-ms", beside);
      figures.put("short-p50-first-token-without-ms", shortPercentile(without, 50));
      figures.put("short-p50-first-token-with-ms", shortPercentile(with, 50));
      figures.put("live-failures", (double) without.failures() + with.failures());
      return new Measured(figures, TimeSeries.firstTokenLatency(policy.name(), with, 99));
    }
  }

  private static double shortPercentile(LoadResult result, double percentile) {
    return result
            .firstTokenTimes(record -> !record.request().isLong())
            .getValueAtPercentile(percentile)
        / 1e6;
  }
}
