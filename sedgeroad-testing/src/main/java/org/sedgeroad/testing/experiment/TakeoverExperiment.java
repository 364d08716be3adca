package org.sedgeroad.testing.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.EntryProcess;
import org.sedgeroad.testing.load.BatchLoad;
import org.sedgeroad.testing.load.EngineRun;
import org.sedgeroad.testing.load.EngineRuns;
import org.sedgeroad.testing.load.JobOutput;
import org.sedgeroad.testing.load.LiveLoad;

/**
 * Kills the entry instance that holds the most segments of a batch job and measures how soon other
 * instances continue with their items.
 */
final class TakeoverExperiment implements Experiment {
  private static final int ITEMS = 1_536;
  private static final double CLAIM_SECONDS = 4;
  private static final long JOB_TIMEOUT_MILLIS = 40_000;
  private static final String PROGRESS = "killed-to-progress-s";

  @Override
  public ExperimentResult run(Bench bench) {
    try (Deployment deployment = bench.deploy(Bench.evenPlan(2, 1), Policy.DEFAULT)) {
      String job = new BatchLoad(deployment, "item", 100, 32).submit(ITEMS);
      Bench.pause(CLAIM_SECONDS);
      Map<String, List<String>> segmentsByHolder = unfinishedSegmentsByHolder(deployment);
      bench.printProgress("unfinished segments by holder: " + segmentsByHolder);
      EntryProcess victim = chooseVictim(deployment, segmentsByHolder);
      List<String> segments = segmentsByHolder.getOrDefault(victim.name(), List.of());
      long killedMicros = LiveLoad.nowMicros();
      victim.process().kill();
      bench.printProgress("killed " + victim.name() + ", which holds " + segments);
      EntryProcess other = deployment.entries().get(victim == deployment.entries().get(0) ? 1 : 0);
      ApiClient client = deployment.client(other);
      JobOutput output = JobOutput.await(client, job, JOB_TIMEOUT_MILLIS);
      bench.printProgress("job " + job + " " + output.status());
      boolean completed = output.status().equals("completed");
      EngineRuns runs = EngineRuns.read(deployment);
      Map<String, Double> figures = new LinkedHashMap<>();
      figures.put(
          PROGRESS, segments.isEmpty() ? null : secondsUntilProgress(runs, segments, killedMicros));
      figures.put(
          "killed-to-claimed-s",
          secondsUntilClaimed(deployment, segments, victim.name(), killedMicros));
      figures.put("items-lost", completed ? (double) output.lostItems(ITEMS) : null);
      figures.put("items-completed-twice", completed ? (double) output.completedTwice() : null);
      figures.put("segments-held-by-killed", (double) segments.size());
      figures.put("items-run-again", (double) countItemsRunAgain(runs));
      return new ExperimentResult(
          "takeover",
          bench.seed(),
          Figure.atMost(
              figures,
              Map.of(
                  PROGRESS,
                  Targets.TAKEOVER_SECONDS,
                  "items-lost",
                  Targets.ZERO,
                  "items-completed-twice",
                  Targets.ZERO)),
          Map.of(),
          completed ? List.of() : List.of("the job did not complete: " + output.status()),
          List.of(
              new Chart(
                  "Batch items finished, instance killed at 0",
                  "s",
                  "items/s",
                  List.of(
                      TimeSeries.batchThroughput(
                          "all engines", runs, killedMicros, killedMicros + 20_000_000)))));
    }
  }

  /** Returns the names of the unfinished segments, by the name of the instance that holds them. */
  private static Map<String, List<String>> unfinishedSegmentsByHolder(Deployment deployment) {
    Map<String, List<String>> segmentsByHolder = new HashMap<>();
    String list =
        deployment.read(deployment.store().resolve("/apis/sedgeroad.org/v1/segments?limit=500"));
    for (JsonNode object : json(list).path("items")) {
      String holder = object.path("spec").path("holder").asText();
      boolean unfinished = object.path("spec").path("states").asText().indexOf('W') >= 0;
      if (unfinished && holder.indexOf('#') > 0) {
        segmentsByHolder
            .computeIfAbsent(holder.substring(0, holder.indexOf('#')), key -> new ArrayList<>())
            .add(object.path("metadata").path("name").asText());
      }
    }
    return segmentsByHolder;
  }

  private static EntryProcess chooseVictim(
      Deployment deployment, Map<String, List<String>> segmentsByHolder) {
    EntryProcess victim = deployment.entries().get(0);
    for (EntryProcess entry : deployment.entries()) {
      int count = segmentsByHolder.getOrDefault(entry.name(), List.of()).size();
      if (count > segmentsByHolder.getOrDefault(victim.name(), List.of()).size()) {
        victim = entry;
      }
    }
    return victim;
  }

  /**
   * Returns the seconds until an engine has accepted an item of every segment after the kill, null
   * if a segment had no such item.
   */
  private static Double secondsUntilProgress(
      EngineRuns runs, List<String> segments, long killedMicros) {
    double longest = 0;
    for (String segment : segments) {
      long first =
          runs.stream(run -> run.requestId().startsWith(segment + "."))
              .mapToLong(EngineRun::acceptMicros)
              .filter(micros -> micros > killedMicros)
              .min()
              .orElse(-1);
      if (first < 0) {
        return null;
      }
      longest = Math.max(longest, (first - killedMicros) / 1e6);
    }
    return longest;
  }

  /**
   * Returns the seconds until another instance has written every segment after the kill, null if a
   * segment was not written or if there are no segments.
   */
  private static Double secondsUntilClaimed(
      Deployment deployment, List<String> segments, String victim, long killedMicros) {
    Map<String, Long> first = new HashMap<>();
    for (JsonNode write :
        json(deployment.read(deployment.store().resolve("/control/history"))).path("writes")) {
      Instant time = Instant.parse(write.path("time").asText());
      long micros = ChronoUnit.MICROS.between(Instant.EPOCH, time);
      boolean other = !write.path("writer").asText().startsWith(victim + "#");
      if (write.path("kind").asText().equals("segments") && other && micros > killedMicros) {
        first.putIfAbsent(write.path("name").asText(), micros);
      }
    }
    double longest = 0;
    for (String segment : segments) {
      if (!first.containsKey(segment)) {
        return null;
      }
      longest = Math.max(longest, (first.get(segment) - killedMicros) / 1e6);
    }
    return segments.isEmpty() ? null : longest;
  }

  private static JsonNode json(String text) {
    try {
      return new ObjectMapper().readTree(text);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private static long countItemsRunAgain(EngineRuns runs) {
    Map<String, Integer> finished = new HashMap<>();
    runs.stream(run -> run.isBatch() && run.finished())
        .forEach(run -> finished.merge(run.fingerprint(), 1, Integer::sum));
    return finished.values().stream().filter(count -> count > 1).count();
  }
}
