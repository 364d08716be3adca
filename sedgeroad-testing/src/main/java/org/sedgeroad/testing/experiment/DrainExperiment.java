package org.sedgeroad.testing.experiment;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.Endpoint;
import org.sedgeroad.EndpointState;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.EndpointProcess;
import org.sedgeroad.testing.deployment.EntryProcess;
import org.sedgeroad.testing.load.Balancer;
import org.sedgeroad.testing.load.BatchLoad;
import org.sedgeroad.testing.load.EngineRun;
import org.sedgeroad.testing.load.EngineRuns;
import org.sedgeroad.testing.load.LengthMix;
import org.sedgeroad.testing.load.LiveLoad;
import org.sedgeroad.testing.load.LoadResult;
import org.sedgeroad.testing.load.Outcome;

/**
 * Measures, under live and batch load, how soon leaving and draining endpoints get no more new
 * work, and whether planned stops of entry instances break requests.
 */
final class DrainExperiment implements Experiment {
  private static final double LIVE_FRACTION = 0.3;
  private static final double LIVE_SECONDS = 16;
  private static final double STEADY_SECONDS = 2;
  private static final double AFTER_LEAVING_SECONDS = 5;
  private static final double BETWEEN_STOPS_SECONDS = 3;
  private static final int ITEMS = 2_000;
  private static final long LIST_LAG_MILLIS = 500;
  private static final String LAST_WORK = "leaving-last-new-work-s";
  private static final String CUT_REQUESTS = "planned-stop-requests-cut";

  @Override
  public ExperimentResult run(Bench bench) {
    try (Deployment deployment = bench.deploy(Bench.plan(2, 2), Policy.DEFAULT);
        Balancer balancer = new Balancer(deployment.httpClient(), Bench.entries(deployment))) {
      deployment.control(
          deployment.store(), "/control/instances", "{\"lag_millis\":" + LIST_LAG_MILLIS + "}");
      new BatchLoad(deployment, "item", 100, 32).submit(ITEMS);
      double rate = Bench.arrivalRate(deployment.plan(), LengthMix.ASSISTANT, LIVE_FRACTION);
      LiveLoad load =
          bench.start(
              deployment, bench.plan("live", LengthMix.ASSISTANT, rate, LIVE_SECONDS), balancer);
      Bench.pause(STEADY_SECONDS);
      bench.printProgress(
          "one endpoint is leaving in the instance list, another one answers that it is draining");
      EndpointProcess listed = deployment.engines().get(0);
      EndpointProcess drained = deployment.engines().get(3);
      final long leftMicros = LiveLoad.nowMicros();
      deployment.updateEndpoint(asLeaving(listed.endpoint()));
      deployment.control(drained.address(), "/control/drain", "{\"draining\":true}");
      Bench.pause(AFTER_LEAVING_SECONDS);
      stop(bench, deployment.entries().get(1));
      Bench.pause(BETWEEN_STOPS_SECONDS);
      stop(bench, deployment.entries().get(3));
      LoadResult live = load.await();
      boolean ended =
          deployment.entries().get(1).process().awaitEnd()
              && deployment.entries().get(3).process().awaitEnd();
      return summarise(bench, deployment, live, List.of(listed, drained), leftMicros, ended);
    }
  }

  private static void stop(Bench bench, EntryProcess entry) {
    bench.printProgress("planned stop of " + entry.name());
    entry.process().requestStop();
  }

  private static Endpoint asLeaving(Endpoint endpoint) {
    return new Endpoint(
        endpoint.name(),
        endpoint.service(),
        endpoint.address(),
        endpoint.domain(),
        endpoint.region(),
        EndpointState.LEAVING);
  }

  private static ExperimentResult summarise(
      Bench bench,
      Deployment deployment,
      LoadResult live,
      List<EndpointProcess> leaving,
      long leftMicros,
      boolean ended) {
    EngineRuns runs = EngineRuns.read(deployment);
    Map<String, Double> figures = new LinkedHashMap<>();
    figures.put(LAST_WORK, secondsToLastWork(runs, leaving.get(0), leftMicros));
    figures.put("draining-last-new-work-s", secondsToLastWork(runs, leaving.get(1), leftMicros));
    figures.put(CUT_REQUESTS, (double) live.count(Outcome.CUT) + live.count(Outcome.NOT_SENT));
    figures.put("live-errors", (double) live.count(Outcome.ERROR));
    figures.put("live-requests", (double) live.records().size());
    figures.put("stopped-instances-ended", ended ? 2.0 : null);
    live.records().stream()
        .filter(record -> !record.isWhole())
        .limit(5)
        .forEach(
            record ->
                bench.printProgress(
                    record.outcome() + " " + record.requestId() + " " + record.detail()));
    return new ExperimentResult(
        "drain",
        bench.seed(),
        Figure.atMost(
            figures,
            Map.of(
                LAST_WORK,
                Targets.DRAIN_SECONDS,
                "draining-last-new-work-s",
                Targets.DRAIN_SECONDS,
                CUT_REQUESTS,
                Targets.NONE)),
        Map.of(),
        List.of("the instance list lags by " + LIST_LAG_MILLIS + " ms"),
        List.of(
            new Chart(
                "Live time to first token, p99 per 0.5 s",
                "s",
                "ms",
                List.of(TimeSeries.firstTokenLatency("live", live, 99)))));
  }

  /**
   * Returns the seconds from the time at which the endpoints began to leave until an engine
   * accepted its last run, 0 if it accepted none after that time.
   */
  private static double secondsToLastWork(
      EngineRuns runs, EndpointProcess engine, long leftMicros) {
    return runs.stream(run -> run.engine().equals(engine.endpoint().name()))
            .mapToLong(EngineRun::acceptMicros)
            .filter(micros -> micros > leftMicros)
            .map(micros -> micros - leftMicros)
            .max()
            .orElse(0)
        / 1e6;
  }
}
