package org.sedgeroad.testing.experiment;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.load.BatchLoad;
import org.sedgeroad.testing.load.LengthMix;
import org.sedgeroad.testing.load.LiveLoad;
import org.sedgeroad.testing.load.LoadResult;

/**
 * Measures the bytes that the region without the store exchanges with the store, over a link of 20
 * Mb/s with a delay of 12 ms each way.
 */
final class LinkExperiment implements Experiment {
  private static final String REMOTE_DOMAIN = "mendoza-a";
  private static final long BYTES_PER_SECOND = 20_000_000 / 8;
  private static final long DELAY_MILLIS = 12;
  private static final double IDLE_SECONDS = 5;
  private static final double LOAD_SECONDS = 12;
  private static final double LIVE_FRACTION = 0.3;
  private static final int ITEMS = 2_000;

  @Override
  public ExperimentResult run(Bench bench) {
    try (StoreLinks links = new StoreLinks();
        Deployment deployment = Deployment.start(Bench.evenPlan(2, 1), links::route)) {
      links.of(REMOTE_DOMAIN).setDelays(DELAY_MILLIS, DELAY_MILLIS);
      links.of(REMOTE_DOMAIN).setThrottles(BYTES_PER_SECOND, BYTES_PER_SECOND);
      Bench.pause(1);
      bench.printProgress("idle");
      long before = links.bytes(REMOTE_DOMAIN);
      Bench.pause(IDLE_SECONDS);
      final double idle = (links.bytes(REMOTE_DOMAIN) - before) / IDLE_SECONDS;
      bench.printProgress("live requests and batch items");
      new BatchLoad(deployment, "item", 100, 32).submit(ITEMS);
      before = links.bytes(REMOTE_DOMAIN);
      double rate = Bench.arrivalRate(deployment.plan(), LengthMix.ASSISTANT, LIVE_FRACTION);
      LiveLoad load =
          bench.startPoissonLoad(deployment, "live", LengthMix.ASSISTANT, rate, LOAD_SECONDS);
      Bench.pause(LOAD_SECONDS);
      final double loaded = (links.bytes(REMOTE_DOMAIN) - before) / LOAD_SECONDS;
      LoadResult live = load.await();
      Map<String, Double> figures = new LinkedHashMap<>();
      figures.put("link-bytes-ratio", null);
      figures.put("live-waits-behind-batch-on-link", null);
      figures.put("store-link-bytes-per-second-idle", idle);
      figures.put("store-link-bytes-per-second-loaded", loaded);
      figures.put("live-failures", (double) live.failures());
      return new ExperimentResult(
          "link",
          bench.seed(),
          Figure.atMost(
              figures,
              Map.of(
                  "link-bytes-ratio",
                  Targets.LINK_RATIO,
                  "live-waits-behind-batch-on-link",
                  Targets.ZERO)),
          Map.of(),
          List.of(
              "not measured: the ratio and the order on the link need work that spills to another"
                  + " region; the bytes here are those between "
                  + REMOTE_DOMAIN
                  + " and the store"),
          List.of());
    }
  }
}
