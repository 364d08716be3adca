package org.sedgeroad.testing.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.load.LengthMix;
import org.sedgeroad.testing.load.LiveLoad;
import org.sedgeroad.testing.load.LiveRecord;
import org.sedgeroad.testing.load.LoadResult;

/**
 * Measures how fast a new limit on requests per second takes effect under load, and whether it
 * holds while a failure domain is disconnected from the store.
 */
final class LimitsExperiment implements Experiment {
  private static final double OFFERED_PER_SECOND = 120;
  private static final long LIMIT = 30;
  private static final double BEFORE_SECONDS = 2;
  private static final double IN_FORCE_SECONDS = 8;
  private static final double PARTITION_SECONDS = 12;
  private static final double AFTER_SECONDS = 4;
  private static final double WINDOW_SECONDS = 2;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final String IN_FORCE = "accepted-to-in-force-s";
  private static final String REVERTS = "reverts";
  private static final String OVERUSE = "use-over-limit-in-partition";

  /** Times of a run, in microseconds since 1970 (wall clock). */
  private record Times(long accepted, long disconnected, long reconnected, long end) {}

  @Override
  public ExperimentResult run(Bench bench) {
    DeploymentPlan plan = Bench.evenPlan(2, 1);
    try (StoreLinks links = new StoreLinks();
        Deployment deployment = Deployment.start(plan, links::route)) {
      bench.printProgress(
          "deployment started; each failure domain reaches the store through a proxy of its own");
      double seconds = BEFORE_SECONDS + IN_FORCE_SECONDS + PARTITION_SECONDS + AFTER_SECONDS;
      LiveLoad load =
          bench.startPoissonLoad(
              deployment, "live", LengthMix.fixed(50, 2), OFFERED_PER_SECOND, seconds);
      Bench.pause(BEFORE_SECONDS);
      setLimit(deployment);
      final long accepted = LiveLoad.nowMicros();
      bench.printProgress(
          "limit of " + LIMIT + " requests/s accepted, offered " + OFFERED_PER_SECOND);
      Bench.pause(IN_FORCE_SECONDS);
      final long disconnected = LiveLoad.nowMicros();
      links.of("mendoza-a").setDisconnected(true);
      bench.printProgress("mendoza-a disconnected from the store");
      Bench.pause(PARTITION_SECONDS);
      links.of("mendoza-a").setDisconnected(false);
      final long reconnected = LiveLoad.nowMicros();
      LoadResult live = load.await();
      return summarise(
          bench,
          deployment,
          live,
          new Times(accepted, disconnected, reconnected, live.endMicros()));
    }
  }

  private static void setLimit(Deployment deployment) {
    JsonNode result =
        OperatorClient.send(
            deployment.httpClient(),
            deployment.entries().get(0).operatorAddress(),
            OperatorClient.setLimit(deployment.plan().member(), LIMIT));
    if (!result.path("outcome").asText().equals("done")) {
      throw new IllegalStateException("limit change not accepted: " + result);
    }
  }

  private static ExperimentResult summarise(
      Bench bench, Deployment deployment, LoadResult live, Times times) {
    int entries = deployment.entries().size();
    Double inForce = secondsUntilInForce(live, times, entries);
    Map<String, Double> figures = new LinkedHashMap<>();
    figures.put(IN_FORCE, inForce);
    figures.put(REVERTS, inForce == null ? null : countReverts(live, times));
    figures.put(OVERUSE, overuseFraction(live, times.disconnected, times.reconnected));
    figures.put(
        "admitted-per-second-before", admittedPerSecond(live, live.startMicros(), times.accepted));
    figures.put(
        "admitted-per-second-in-force",
        admittedPerSecond(live, times.accepted, times.disconnected));
    figures.put(
        "admitted-per-second-in-partition",
        admittedPerSecond(live, times.disconnected, times.reconnected));
    List<String> notes =
        inForce == null
            ? List.of("not every instance refused a request: the limit is not in force everywhere")
            : List.of();
    return new ExperimentResult(
        "limits",
        bench.seed(),
        Figure.atMost(
            figures,
            Map.of(
                IN_FORCE,
                Targets.LIMIT_IN_FORCE_SECONDS,
                REVERTS,
                Targets.ZERO,
                OVERUSE,
                Targets.ZERO)),
        Map.of(),
        notes,
        List.of(
            new Chart(
                "Admitted requests, limit " + LIMIT + " per second",
                "s",
                "requests/s",
                List.of(admittedLine(live)))));
  }

  /**
   * Returns the seconds until every instance has refused a request because of the limit, null if
   * one never did.
   */
  private static Double secondsUntilInForce(LoadResult live, Times times, int entries) {
    double longest = 0;
    for (int entry = 0; entry < entries; entry++) {
      int number = entry;
      long first =
          live.records().stream()
              .filter(record -> record.request().targetNumber() % entries == number)
              .filter(record -> record.status() == TOO_MANY_REQUESTS)
              .mapToLong(LiveRecord::startMicros)
              .min()
              .orElse(-1);
      if (first < 0) {
        return null;
      }
      longest = Math.max(longest, (first - times.accepted) / 1e6);
    }
    return longest;
  }

  /**
   * Counts the windows of 2 s with more admitted requests than the limit and its burst allow. The
   * first window begins 2 s after the limit was accepted.
   */
  private static double countReverts(LoadResult live, Times times) {
    int reverts = 0;
    long step = (long) (WINDOW_SECONDS * 1e6);
    for (long from = times.accepted + step; from + step <= times.end; from += step) {
      if (excess(live, from, from + step) > 0) {
        reverts++;
      }
    }
    return reverts;
  }

  private static double overuseFraction(LoadResult live, long from, long to) {
    return Math.max(0, excess(live, from, to)) / (LIMIT * (to - from) / 1e6);
  }

  /**
   * Returns the number of requests admitted beyond the limit and the token bucket's burst of one
   * second, negative if fewer were admitted.
   */
  private static double excess(LoadResult live, long from, long to) {
    return countAdmitted(live, from, to) - LIMIT * ((to - from) / 1e6 + 1);
  }

  private static double admittedPerSecond(LoadResult live, long from, long to) {
    return countAdmitted(live, from, to) * 1e6 / (to - from);
  }

  private static long countAdmitted(LoadResult live, long from, long to) {
    return live.records().stream()
        .filter(LiveRecord::isWhole)
        .filter(record -> record.startMicros() >= from && record.startMicros() < to)
        .count();
  }

  private static Chart.Line admittedLine(LoadResult live) {
    List<Chart.Point> points = new ArrayList<>();
    long step = 1_000_000;
    for (long from = live.startMicros(); from + step <= live.endMicros(); from += step) {
      double seconds = (from - live.startMicros()) / 1e6;
      points.add(new Chart.Point(seconds, admittedPerSecond(live, from, from + step)));
    }
    return new Chart.Line("admitted", points);
  }
}
