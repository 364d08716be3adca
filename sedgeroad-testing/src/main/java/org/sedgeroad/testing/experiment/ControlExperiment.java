package org.sedgeroad.testing.experiment;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.HttpObjectStore;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.DomainPlan;
import org.sedgeroad.testing.deployment.EntryProcess;

/**
 * Measures the processor time, heap and input/output bytes of idle entry instances, and by how much
 * each of these figures grows with every further entry instance, endpoint and limit.
 */
final class ControlExperiment implements Experiment {
  private static final int FEW = 2;
  private static final int MANY_ENTRIES = 10;
  private static final int MANY_ENGINES = 10;
  private static final int MANY_LIMITS = 500;

  /** Just after the start most of the use comes from class loading, not from control traffic. */
  private static final double SETTLE_SECONDS = 3;

  private static final double SECONDS = 6;
  private static final long TIMEOUT_MILLIS = 2_000;

  /** Mean use of an idle entry instance: percent of a core, megabytes, bytes per second. */
  private record Use(double core, double heap, double bytes) {}

  @Override
  public ExperimentResult run(Bench bench) {
    Use small = measure(bench, FEW, FEW, 0);
    Use entries = measure(bench, MANY_ENTRIES, FEW, 0);
    Use engines = measure(bench, FEW, MANY_ENGINES, 0);
    Use limits = measure(bench, FEW, FEW, MANY_LIMITS);
    Map<String, Double> figures = new LinkedHashMap<>();
    slopes(figures, "entry", small, entries, MANY_ENTRIES - FEW);
    slopes(figures, "endpoint", small, engines, MANY_ENGINES - FEW);
    slopes(figures, "limit", small, limits, MANY_LIMITS);
    figures.put("idle-core-percent", small.core);
    figures.put("idle-heap-mb", small.heap);
    figures.put("idle-bytes-per-second", small.bytes);
    return new ExperimentResult(
        "control",
        bench.seed(),
        Figure.atMost(figures, Map.of()),
        Map.of(),
        List.of(
            "slopes over "
                + (MANY_ENTRIES - FEW)
                + " entry instances, "
                + (MANY_ENGINES - FEW)
                + " endpoints and "
                + MANY_LIMITS
                + " limits; bytes include the log"),
        List.of());
  }

  private static void slopes(
      Map<String, Double> figures, String kind, Use few, Use many, double added) {
    figures.put("core-percent-per-" + kind, (many.core - few.core) / added);
    figures.put("heap-kb-per-" + kind, (many.heap - few.heap) * 1_024 / added);
    figures.put("bytes-per-second-per-" + kind, (many.bytes - few.bytes) / added);
  }

  private static Use measure(Bench bench, int entries, int engines, int limits) {
    DeploymentPlan plan =
        Bench.fullPlan()
            .withDomains(new DomainPlan("neuquen-a", "patagonia-norte", entries, engines, 0));
    try (Deployment deployment = Deployment.start(plan)) {
      bench.printProgress(
          entries + " entry instances, " + engines + " endpoints, " + limits + " limits");
      createLimits(deployment, limits);
      Bench.pause(SETTLE_SECONDS);
      List<Long> ids = new ArrayList<>();
      for (EntryProcess entry : deployment.entries().subList(0, FEW)) {
        ids.add(entry.process().id());
      }
      List<ProcessUse> before = ids.stream().map(ProcessUse::of).toList();
      Bench.pause(SECONDS);
      double core = 0;
      double bytes = 0;
      double heap = 0;
      for (int index = 0; index < ids.size(); index++) {
        ProcessUse after = ProcessUse.of(ids.get(index));
        core += (after.seconds() - before.get(index).seconds()) / SECONDS * 100;
        bytes += (after.bytes() - before.get(index).bytes()) / SECONDS;
      }
      for (long id : ids) {
        heap += ProcessUse.heapMegabytes(id);
      }
      return new Use(core / ids.size(), heap / ids.size(), bytes / ids.size());
    }
  }

  private static void createLimits(Deployment deployment, int count) {
    HttpObjectStore store =
        HttpObjectStore.of(deployment.store(), deployment.httpClient(), TIMEOUT_MILLIS);
    for (int index = 0; index < count; index++) {
      store.create(
          Kinds.LIMITS,
          "member-" + index,
          JsonNodeFactory.instance
              .objectNode()
              .put("requests_per_second", 100)
              .put("tokens_per_second", 10_000)
              .put("batch_share", 10)
              .put("priority", 5));
    }
  }
}
