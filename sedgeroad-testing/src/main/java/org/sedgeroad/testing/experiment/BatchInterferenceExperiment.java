package org.sedgeroad.testing.experiment;

import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.EndpointProcess;
import org.sedgeroad.testing.load.Arrivals;
import org.sedgeroad.testing.load.BatchLoad;
import org.sedgeroad.testing.load.ClosedLoopLoad;
import org.sedgeroad.testing.load.EngineRuns;
import org.sedgeroad.testing.load.LengthMix;
import org.sedgeroad.testing.load.LiveLoad;
import org.sedgeroad.testing.load.LoadResult;
import org.sedgeroad.testing.load.PlannedRequest;

/**
 * Measures how batch work at full load affects live requests, and how much of the remaining
 * capacity batch work uses.
 */
final class BatchInterferenceExperiment implements Experiment {
  private static final double LIVE_FRACTION = 0.4;
  private static final double LIVE_SECONDS = 5;
  private static final double CALIBRATION_SECONDS = 2;

  /** Time that batch work needs to fill the engines; items finished earlier are not counted. */
  private static final double FILL_SECONDS = 1.5;

  /** Time until the number of live requests in progress is steady. */
  private static final long RAMP_UP_MICROS = 500_000;

  private static final int ENGINES = 8;
  private static final int ITEM_PROMPT_TOKENS = 100;
  private static final int ITEM_ANSWER_TOKENS = 32;

  /**
   * Items of each of the two batch jobs. Together they are at least twice what the engines can
   * finish in the measured time, so that there is always batch work.
   */
  private static final int ITEMS = 2_500;

  private static final int BURSTS = 2;
  private static final int BURST_SIZE = 24;
  private static final double BURST_SPREAD_MILLIS = 30;
  private static final double BURST_INTERVAL_SECONDS = 1.5;
  private static final String CALIBRATION = "calibration";

  /**
   * Time at the start of the calibration that is not counted. It is longer than the first requests
   * take, which all start at the same time.
   */
  private static final long CALIBRATION_FILL_MICROS = 700_000;

  private static final String CAPACITY = "capacity-items-per-second";
  private static final String RATIO = "live-p99-first-token-ratio";
  private static final String BATCH_FRACTION = "batch-part-of-left-capacity";
  private static final String BURST_WAIT = "burst-wait-behind-batch-ms";

  /** Figures and chart lines of one policy. */
  private record Measured(Map<String, Double> figures, List<Chart.Line> first, Chart.Line batch) {}

  @Override
  public ExperimentResult run(Bench bench) {
    Measured withDefaults = measure(bench, Policy.DEFAULT, null);
    // All deployments have the same engines, so one calibration is enough.
    double capacity = withDefaults.figures.get(CAPACITY);
    Measured baseline = measure(bench, Policy.LEAST_OUTSTANDING, capacity);
    Map<String, Double> values = withDefaults.figures;
    List<Figure> figures = new ArrayList<>();
    figures.add(Figure.atMost(RATIO, values.get(RATIO), Targets.INTERFERENCE_RATIO));
    figures.add(
        Figure.atLeast(
            BATCH_FRACTION, values.get(BATCH_FRACTION), Targets.BATCH_FRACTION_OF_CAPACITY));
    figures.add(Figure.atMost(BURST_WAIT, values.get(BURST_WAIT), Targets.BURST_WAIT_MILLIS));
    values.forEach(
        (name, value) -> {
          if (!List.of(RATIO, BATCH_FRACTION, BURST_WAIT).contains(name)) {
            figures.add(Figure.reported(name, value));
          }
        });
    List<Chart.Line> first = new ArrayList<>(withDefaults.first);
    first.addAll(baseline.first);
    return new ExperimentResult(
        "batch-interference",
        bench.seed(),
        figures,
        Map.of(Policy.LEAST_OUTSTANDING.name(), baseline.figures),
        List.of(),
        List.of(
            new Chart("Live time to first token, p99 per 0.5 s", "s", "ms", first),
            new Chart(
                "Batch items finished beside live",
                "s",
                "items/s",
                List.of(withDefaults.batch, baseline.batch))));
  }

  private static Measured measure(Bench bench, Policy policy, Double knownCapacity) {
    try (Deployment deployment = bench.deploy(Bench.fullPlan(), policy)) {
      double capacity = knownCapacity == null ? calibrate(bench, deployment) : knownCapacity;
      double rate = Bench.arrivalRate(deployment.plan(), LengthMix.ASSISTANT, LIVE_FRACTION);
      bench.printProgress("live requests alone, " + Math.round(rate) + " requests/s");
      LoadResult alone = runLive(bench, deployment, "alone", rate);
      BatchLoad batch = new BatchLoad(deployment, "item", ITEM_PROMPT_TOKENS, ITEM_ANSWER_TOKENS);
      batch.submit(ITEMS);
      batch.submit(ITEMS);
      Bench.pause(FILL_SECONDS);
      bench.printProgress("live requests beside batch items");
      LoadResult beside = runLive(bench, deployment, "beside", rate);
      Bench.pause(0.5);
      bench.printProgress("bursts of live requests after an idle time");
      LoadResult bursts = runBursts(bench, deployment);
      EngineRuns runs = EngineRuns.read(deployment);
      return summarise(policy, capacity, runs, alone, beside, bursts);
    }
  }

  /**
   * Fills all slots with requests that have the length of batch items and are sent directly to the
   * engines. Returns the number of these requests finished per second.
   */
  private static double calibrate(Bench bench, Deployment deployment) {
    bench.printProgress("calibrating the capacity of the engines");
    long start = LiveLoad.nowMicros();
    ClosedLoopLoad load =
        new ClosedLoopLoad(
            bench.httpClient(),
            Map.of("X-Service-Class", CALIBRATION),
            deployment.plan().model(),
            ITEM_PROMPT_TOKENS,
            ITEM_ANSWER_TOKENS,
            CALIBRATION_SECONDS);
    List<URI> engines = deployment.engines().stream().map(EndpointProcess::address).toList();
    load.start(engines, 2 * Bench.SLOTS);
    // The last requests end after the calibration and must not overlap with the live requests.
    Bench.pause(CALIBRATION_SECONDS + 1);
    return EngineRuns.read(deployment)
        .finishedPerSecond(
            run -> run.serviceClass().equals(CALIBRATION),
            start + CALIBRATION_FILL_MICROS,
            start + (long) (CALIBRATION_SECONDS * 1e6));
  }

  private static LoadResult runLive(Bench bench, Deployment deployment, String label, double rate) {
    return bench
        .startPoissonLoad(deployment, label, LengthMix.ASSISTANT, rate, LIVE_SECONDS)
        .await();
  }

  private static LoadResult runBursts(Bench bench, Deployment deployment) {
    List<Long> arrivals =
        Arrivals.bursts(
            bench.seed(), BURSTS, BURST_SIZE, BURST_SPREAD_MILLIS, BURST_INTERVAL_SECONDS);
    LengthMix mix = LengthMix.fixed(ITEM_PROMPT_TOKENS, ITEM_ANSWER_TOKENS);
    return bench
        .startLoad(deployment, PlannedRequest.plan(bench.seed(), "burst", arrivals, mix))
        .await();
  }

  private static Measured summarise(
      Policy policy,
      double capacity,
      EngineRuns runs,
      LoadResult alone,
      LoadResult beside,
      LoadResult bursts) {
    long from = beside.startMicros() + RAMP_UP_MICROS;
    long to = beside.startMicros() + (long) (LIVE_SECONDS * 1e6);
    double before = liveSlotFraction(runs, alone);
    double during = liveSlotFraction(runs, beside);
    // Live requests that wait behind batch items hold fewer slots than they need. The missing
    // slots don't count as capacity left for batch work.
    double liveSlots = Math.max(before, during);
    double batch = runs.batchItemsPerSecond(from, to);
    Map<String, Double> figures = new LinkedHashMap<>();
    figures.put(RATIO, beside.firstTokenMillis(99) / alone.firstTokenMillis(99));
    figures.put(BATCH_FRACTION, batch / (capacity * (1 - liveSlots)));
    figures.put(BURST_WAIT, longestBurstWaitMillis(runs, bursts.startMicros()));
    figures.put("live-p99-first-token-alone-ms", alone.firstTokenMillis(99));
    figures.put("live-p99-first-token-beside-ms", beside.firstTokenMillis(99));
    figures.put("live-p50-first-token-alone-ms", alone.firstTokenMillis(50));
    figures.put("live-p50-first-token-beside-ms", beside.firstTokenMillis(50));
    figures.put("live-p99-gap-beside-ms", beside.gaps().getValueAtPercentile(99) / 1e6);
    figures.put("live-part-of-slots-alone", before);
    figures.put("live-part-of-slots-beside", during);
    figures.put(CAPACITY, capacity);
    figures.put("batch-items-per-second", batch);
    figures.put(
        "live-runs-behind-batch-beside", (double) QueueWaits.behindBatch(runs, from, to).size());
    figures.put("live-failures", (double) alone.failures() + beside.failures() + bursts.failures());
    List<Chart.Line> first = new ArrayList<>();
    first.add(TimeSeries.firstTokenLatency(policy.name() + ", alone", alone, 99));
    first.add(TimeSeries.firstTokenLatency(policy.name() + ", beside batch", beside, 99));
    Chart.Line finished = TimeSeries.batchThroughput(policy.name(), runs, beside.startMicros(), to);
    return new Measured(figures, first, finished);
  }

  /** Returns the mean fraction of all slots that live runs hold while a load is sent, 0 to 1. */
  private static double liveSlotFraction(EngineRuns runs, LoadResult load) {
    long to = load.startMicros() + (long) (LIVE_SECONDS * 1e6);
    double held =
        runs.meanSlots(
            run -> run.serviceClass().equals("live"), load.startMicros() + RAMP_UP_MICROS, to);
    return held / (Bench.SLOTS * ENGINES);
  }

  /**
   * Returns the longest time in milliseconds from the start of a burst until no live request waits
   * behind batch items.
   */
  private static double longestBurstWaitMillis(EngineRuns runs, long startMicros) {
    double longest = 0;
    for (int burst = 0; burst < BURSTS; burst++) {
      long from = startMicros + (long) (burst * BURST_INTERVAL_SECONDS * 1e6);
      long to = from + (long) (BURST_INTERVAL_SECONDS * 1e6);
      for (QueueWaits.Wait wait : QueueWaits.behindBatch(runs, from, to)) {
        longest = Math.max(longest, (wait.untilMicros() - from) / 1_000.0);
      }
    }
    return longest;
  }
}
