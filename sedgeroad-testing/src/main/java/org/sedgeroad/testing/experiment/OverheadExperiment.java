package org.sedgeroad.testing.experiment;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.DomainPlan;
import org.sedgeroad.testing.deployment.EndpointProcess;
import org.sedgeroad.testing.deployment.EntryProcess;
import org.sedgeroad.testing.load.ClosedLoopLoad;
import org.sedgeroad.testing.load.LoadResult;
import org.sedgeroad.testing.load.PlannedRequest;

/**
 * Measures the latency that an entry instance adds to answers of one token, and the requests per
 * second and core that it handles.
 */
final class OverheadExperiment implements Experiment {
  private static final int ROUNDS = 3_000;

  /** Rounds that aren't measured because the processes still compile their code. */
  private static final int WARM_UP_ROUNDS = 2_000;

  private static final int PROMPT_TOKENS = 20;
  private static final int IN_FLIGHT = 32;
  private static final double SATURATION_SECONDS = 6;
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final String ADDED_LATENCY = "added-at-median-ms";

  @Override
  public ExperimentResult run(Bench bench) {
    DeploymentPlan plan =
        Bench.fullPlan()
            .withDomains(new DomainPlan("neuquen-a", "patagonia-norte", 1, 3, 0))
            .withSlots(64)
            .withEngineOptions("--prefill-micros", "0", "--token-millis", "0");
    try (Deployment deployment = bench.deploy(plan, Policy.DEFAULT)) {
      Map<String, Double> figures = new LinkedHashMap<>();
      Histogram direct = LoadResult.histogram();
      Histogram through = LoadResult.histogram();
      compare(bench, deployment, direct, through);
      figures.put(ADDED_LATENCY, millis(through, 50) - millis(direct, 50));
      figures.put("through-p50-ms", millis(through, 50));
      figures.put("through-p99-ms", millis(through, 99));
      saturate(bench, deployment, figures);
      return new ExperimentResult(
          "overhead",
          bench.seed(),
          Figure.atMost(figures, Map.of(ADDED_LATENCY, Targets.OVERHEAD_MILLIS)),
          Map.of(
              "direct",
              Map.of("through-p50-ms", millis(direct, 50), "through-p99-ms", millis(direct, 99))),
          List.of(),
          List.of());
    }
  }

  /** Sends requests one at a time, alternating between an engine and the entry instance. */
  private static void compare(
      Bench bench, Deployment deployment, Histogram direct, Histogram through) {
    bench.printProgress(
        "one request at a time, alternating between direct and through the entry instance");
    List<EndpointProcess> engines = deployment.engines();
    URI entry = deployment.entries().get(0).callerAddress();
    for (int round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
      URI engine = engines.get(round % engines.size()).address();
      long directNanos = time(bench, deployment.plan(), engine, "direct-" + round);
      long throughNanos = time(bench, deployment.plan(), entry, "through-" + round);
      if (round >= WARM_UP_ROUNDS) {
        direct.recordValue(directNanos);
        through.recordValue(throughNanos);
      }
    }
  }

  private static long time(Bench bench, DeploymentPlan plan, URI target, String name) {
    String prompt = PlannedRequest.prompt(name, PROMPT_TOKENS);
    byte[] body =
        ApiClient.completionBody(plan.model(), prompt, 1, false)
            .toString()
            .getBytes(StandardCharsets.UTF_8);
    long start = System.nanoTime();
    HttpResult result =
        bench
            .httpClient()
            .send(
                new HttpCall(
                    "POST",
                    target.resolve("/v1/completions"),
                    Map.of("Authorization", "Bearer " + plan.key()),
                    body,
                    false,
                    MonotonicClock.SYSTEM.deadlineAfterMillis(TIMEOUT_MILLIS)));
    if (!(result instanceof HttpResult.Answered answered) || answered.head().status() != 200) {
      throw new IllegalStateException("request failed: " + result);
    }
    return System.nanoTime() - start;
  }

  /**
   * Measures the answers of a saturated entry instance, per second and per second of processor
   * time.
   */
  private static void saturate(Bench bench, Deployment deployment, Map<String, Double> figures) {
    bench.printProgress(IN_FLIGHT + " requests at a time through the entry instance");
    EntryProcess entry = deployment.entries().get(0);
    ClosedLoopLoad load =
        new ClosedLoopLoad(
            bench.httpClient(),
            Map.of("Authorization", "Bearer " + deployment.plan().key()),
            deployment.plan().model(),
            PROMPT_TOKENS,
            1,
            SATURATION_SECONDS);
    load.start(List.of(entry.callerAddress()), IN_FLIGHT);
    Bench.pause(SATURATION_SECONDS / 3);
    double before = ProcessorTime.seconds(entry.process().id());
    long answeredBefore = load.answered();
    long startNanos = System.nanoTime();
    Bench.pause(SATURATION_SECONDS / 2);
    double used = ProcessorTime.seconds(entry.process().id()) - before;
    long answered = load.answered() - answeredBefore;
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    figures.put("requests-per-second", answered / seconds);
    figures.put("requests-per-second-and-core", used == 0 ? null : answered / used);
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / 1e6;
  }
}
