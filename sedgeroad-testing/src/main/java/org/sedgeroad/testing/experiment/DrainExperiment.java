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
    try (Deployment deployment = bench.deploy(Bench.evenPlan(2, 2), Policy.DEFAULT);
        Balancer balancer =
            new Balancer(deployment.httpClient(), Bench.callerAddresses(deployment))) {
      deployment.control(
          deployment.store(), "/control/instances", "{\"lag_millis\":" + LIST_LAG_MILLIS + "}");
      new BatchLoad(deployment, "item", 100, 32).submit(ITEMS);
      double rate = Bench.arrivalRate(deployment.plan(), LengthMix.ASSISTANT, LIVE_FRACTION);
      LiveLoad load =
          bench.startLoad(
              deployment,
              bench.planRequests("live", LengthMix.ASSISTANT, rate, LIVE_SECONDS),
              balancer);
      Bench.pause(STEADY_SECONDS);
      bench.printProgress(
          "one endpoint is leaving in the instance list, another one answers that it is draining");
      EndpointProcess leavingEngine = deployment.engines().get(0);
      EndpointProcess drainingEngine = deployment.engines().get(3);
      final long leavingMicros = LiveLoad.nowMicros();
      deployment.updateEndpoint(asLeaving(leavingEngine.endpoint()));
      deployment.control(drainingEngine.address(), "/control/drain", "{\"draining\":true}");
      Bench.pause(AFTER_LEAVING_SECONDS);
      stop(bench, deployment.entries().get(1));
      Bench.pause(BETWEEN_STOPS_SECONDS);
      stop(bench, deployment.entries().get(3));
      LoadResult live = load.await();
      boolean bothEnded =
          deployment.entries().get(1).process().awaitEnd()
              && deployment.entries().get(3).process().awaitEnd();
      return summarise(
          bench,
          deployment,
          live,
          List.of(leavingEngine, drainingEngine),
          leavingMicros,
          bothEnded);
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
      long leavingMicros,
      boolean bothEnded) {
    EngineRuns runs = EngineRuns.read(deployment);
    Map<String, Double> figures = new LinkedHashMap<>();
    figures.put(LAST_WORK, secondsToLastWork(runs, leaving.get(0), leavingMicros));
    figures.put("draining-last-new-work-s", secondsToLastWork(runs, leaving.get(1), leavingMicros));
    figures.put(CUT_REQUESTS, (double) live.count(Outcome.CUT) + live.count(Outcome.NOT_SENT));
    figures.put("live-errors", (double) live.count(Outcome.ERROR));
    figures.put("live-requests", (double) live.records().size());
    figures.put("stopped-instances-ended", bothEnded ? 2.0 : null);
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
                Targets.ZERO)),
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
      EngineRuns runs, EndpointProcess engine, long leavingMicros) {
    return runs.stream(run -> run.engine().equals(engine.endpoint().name()))
            .mapToLong(EngineRun::acceptMicros)
            .filter(micros -> micros > leavingMicros)
            .map(micros -> micros - leavingMicros)
            .max()
            .orElse(0)
        / 1e6;
  }
}
