package org.sedgeroad.testing.experiment;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.EndpointProcess;
import org.sedgeroad.testing.load.EngineRun;
import org.sedgeroad.testing.load.EngineRuns;
import org.sedgeroad.testing.load.LengthMix;
import org.sedgeroad.testing.load.LiveLoad;
import org.sedgeroad.testing.load.LiveRecord;
import org.sedgeroad.testing.load.LoadResult;

/** Measures live requests while one of eight engines at a time is ten times slower. */
final class StragglersExperiment implements Experiment {
  private static final double LIVE_FRACTION = 0.3;
  private static final double WITHOUT_SECONDS = 5;
  private static final double TURN_SECONDS = 2.5;
  private static final int TURNS = 5;
  private static final double SLOWDOWN = 10;
  private static final String RATIO = "live-p99-first-token-ratio";
  private static final String EXTRA_WORK = "extra-work";

  /** Figures of one policy, and its time to first token over the run. */
  private record Measured(Map<String, Double> figures, Chart.Line line) {}

  @Override
  public ExperimentResult run(Bench bench) {
    Measured withDefaults = measure(bench, Policy.DEFAULT);
    Measured baseline = measure(bench, Policy.LEAST_OUTSTANDING);
    return new ExperimentResult(
        "stragglers",
        bench.seed(),
        Figure.atMost(
            withDefaults.figures,
            Map.of(RATIO, Targets.STRAGGLER_RATIO, EXTRA_WORK, Targets.EXTRA_WORK)),
        Map.of(Policy.LEAST_OUTSTANDING.name(), baseline.figures),
        List.of(),
        List.of(
            new Chart(
                "Live time to first token, p99 per 0.5 s, one slow worker at a time",
                "s",
                "ms",
                List.of(withDefaults.line, baseline.line))));
  }

  private static Measured measure(Bench bench, Policy policy) {
    try (Deployment deployment = bench.deploy(Bench.fullPlan(), policy)) {
      double rate = Bench.arrivalRate(deployment.plan(), LengthMix.ASSISTANT, LIVE_FRACTION);
      bench.printProgress("all engines at full speed, " + Math.round(rate) + " requests/s");
      LoadResult without =
          bench
              .startPoissonLoad(deployment, "without", LengthMix.ASSISTANT, rate, WITHOUT_SECONDS)
              .await();
      bench.printProgress("one engine at a time " + SLOWDOWN + " times slower");
      LiveLoad load =
          bench.startPoissonLoad(
              deployment, "slow", LengthMix.ASSISTANT, rate, TURNS * TURN_SECONDS);
      for (int turn = 0; turn < TURNS; turn++) {
        // A stride of 3 reaches engines of all failure domains within the turns of a run.
        EndpointProcess engine = deployment.engines().get((turn * 3) % deployment.engines().size());
        deployment.control(engine.address(), "/control/speed", "{\"slowdown\":" + SLOWDOWN + "}");
        Bench.pause(TURN_SECONDS);
        deployment.control(engine.address(), "/control/speed", "{\"slowdown\":1}");
      }
      LoadResult slow = load.await();
      EngineRuns runs = EngineRuns.read(deployment);
      Map<String, Double> figures = new LinkedHashMap<>();
      figures.put(RATIO, slow.firstTokenMillis(99) / without.firstTokenMillis(99));
      figures.put(EXTRA_WORK, extraWork(runs, slow));
      figures.put("live-p99-first-token-without-ms", without.firstTokenMillis(99));
      figures.put("live-p99-first-token-slow-ms", slow.firstTokenMillis(99));
      figures.put("live-p99-total-ratio", p99TotalNanos(slow) / p99TotalNanos(without));
      figures.put("live-failures", (double) without.failures() + slow.failures());
      return new Measured(figures, TimeSeries.firstTokenLatency(policy.name(), slow, 99));
    }
  }

  private static double p99TotalNanos(LoadResult result) {
    var histogram = LoadResult.histogram();
    result.records().forEach(record -> histogram.recordValue(record.totalNanos()));
    return histogram.getValueAtPercentile(99);
  }

  /**
   * Returns the tokens that engines generated beyond those of the complete answers, as a fraction
   * of the latter; NaN if there are no complete answers.
   */
  static double extraWork(EngineRuns runs, LoadResult result) {
    long from = result.startMicros();
    long generated =
        runs.stream(run -> run.serviceClass().equals("live") && run.acceptMicros() >= from)
            .mapToLong(EngineRun::tokens)
            .sum();
    long answered =
        result.records().stream()
            .filter(LiveRecord::isWhole)
            .mapToLong(record -> record.request().answerTokens())
            .sum();
    return answered == 0 ? Double.NaN : (double) (generated - answered) / answered;
  }
}
