package org.sedgeroad.testing.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.DomainPlan;
import org.sedgeroad.testing.deployment.EndpointProcess;
import org.sedgeroad.testing.load.Balancer;
import org.sedgeroad.testing.load.EngineRuns;
import org.sedgeroad.testing.load.JobOutput;
import org.sedgeroad.testing.load.LengthMix;
import org.sedgeroad.testing.load.LiveLoad;
import org.sedgeroad.testing.load.LoadResult;

/**
 * Injects a random sequence of failures under live and batch load, and checks the invariants P1 to
 * P9 of section 1.1 of the design page.
 */
final class SoakExperiment implements Experiment {
  private static final double LIVE_PER_SECOND = 25;
  private static final long LIMITED_REQUEST_INTERVAL_MILLIS = 50;
  private static final long SERVICE_CALL_INTERVAL_MILLIS = 250;
  private static final int MAX_THREADS = 64;
  private static final long STEPS_TIMEOUT_SECONDS = 90;
  private static final long JOBS_TIMEOUT_MILLIS = 60_000;
  private static final int MAX_SHOWN_PER_INVARIANT = 10;

  private final int seconds;
  private final SoakJournal journal = new SoakJournal();

  SoakExperiment(int seconds) {
    this.seconds = seconds;
  }

  @Override
  public ExperimentResult run(Bench bench) {
    List<SoakStep> schedule = SoakSchedule.of(bench.seed(), seconds);
    try (StoreLinks links = new StoreLinks();
        Deployment deployment = Deployment.start(plan(), links::route);
        Balancer balancer =
            new Balancer(deployment.httpClient(), Bench.callerAddresses(deployment))) {
      bench.printProgress("logs in " + deployment.folder());
      SoakFaults faults = new SoakFaults(deployment, links, journal);
      SoakLimitDriver limitDriver =
          new SoakLimitDriver(deployment, bench.httpClient(), balancer, journal);
      limitDriver.createMember();
      LiveLoad load =
          bench.startLoad(
              deployment,
              bench.planRequests("live", LengthMix.ASSISTANT, LIVE_PER_SECOND, seconds),
              balancer);
      SoakCallers callers = new SoakCallers(bench.seed(), deployment, balancer, journal);
      runSchedule(bench, schedule, faults, callers, limitDriver);
      long end = LiveLoad.nowMicros();
      LoadResult live = load.await();
      bench.printProgress("repairing all faults");
      faults.repairAll();
      List<Violation> violations = new ArrayList<>();
      String limitDifference = limitDriver.describeLimitDifference();
      if (!limitDifference.isEmpty()) {
        violations.add(new Violation("P9", limitDifference));
      }
      Map<String, JobOutput> first = awaitOutputs(deployment, 0, JOBS_TIMEOUT_MILLIS);
      Map<String, JobOutput> second = awaitOutputs(deployment, 1, 5_000);
      EngineRuns runs = EngineRuns.read(deployment);
      Map<String, Integer> executions = countExecutions(deployment);
      violations.addAll(SoakCheckers.exactlyOnce(journal, first, second));
      violations.addAll(SoakCheckers.cancelled(journal, runs));
      violations.addAll(SoakCheckers.liveFirst(runs));
      violations.addAll(SoakCheckers.wholeAnswers(live.records()));
      violations.addAll(SoakCheckers.refusals(live.records(), runs, journal, executions));
      violations.addAll(SoakCheckers.atMostOnce(journal, executions));
      violations.addAll(SoakCheckers.leaving(journal, runs));
      violations.addAll(SoakCheckers.plannedStops(journal, live.records()));
      violations.addAll(SoakCheckers.limits(journal, end));
      return result(bench, schedule, live, violations);
    }
  }

  private static DeploymentPlan plan() {
    return Bench.fullPlan()
        .withDomains(
            new DomainPlan("neuquen-a", "patagonia-norte", 2, 2, 1),
            new DomainPlan("neuquen-b", "patagonia-norte", 2, 2, 1),
            new DomainPlan("mendoza-a", "cuyo", 2, 2, 1))
        .withEngineOptions("--crash-millis", "1000")
        .withSetting("stop.notice-millis", "500");
  }

  private void runSchedule(
      Bench bench,
      List<SoakStep> schedule,
      SoakFaults faults,
      SoakCallers callers,
      SoakLimitDriver limitDriver) {
    ExecutorService pool = Executors.newFixedThreadPool(MAX_THREADS);
    ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    try {
      int[] sent = new int[2];
      timer.scheduleAtFixedRate(
          () -> limitDriver.sendRequest(sent[0]++),
          0,
          LIMITED_REQUEST_INTERVAL_MILLIS,
          TimeUnit.MILLISECONDS);
      timer.scheduleAtFixedRate(
          () -> {
            int number = sent[1]++;
            pool.execute(() -> callers.callService(number));
          },
          0,
          SERVICE_CALL_INTERVAL_MILLIS,
          TimeUnit.MILLISECONDS);
      long start = System.nanoTime();
      for (SoakStep step : schedule) {
        double wait = step.atMillis() / 1e3 - (System.nanoTime() - start) / 1e9;
        Bench.pause(Math.max(0, wait));
        pool.execute(() -> runStep(bench, step, faults, callers, limitDriver));
      }
      Bench.pause(Math.max(0, seconds - (System.nanoTime() - start) / 1e9));
      timer.shutdownNow();
      pool.shutdown();
      if (!pool.awaitTermination(STEPS_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        bench.printProgress("a step of the schedule did not end");
      }
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException("interrupted", interrupted);
    } finally {
      timer.shutdownNow();
      pool.shutdownNow();
    }
  }

  private static void runStep(
      Bench bench,
      SoakStep step,
      SoakFaults faults,
      SoakCallers callers,
      SoakLimitDriver limitDriver) {
    bench.printProgress(
        "step "
            + step.number()
            + " "
            + step.action()
            + " "
            + step.target()
            + " for "
            + step.durationMillis()
            + " ms");
    try {
      switch (step.action()) {
        case SUBMIT_JOB -> callers.submit(step);
        case RESUBMIT_JOB -> callers.resubmit(step);
        case CANCEL_JOB -> callers.cancel(step);
        case CRASH_REQUEST -> callers.sendCrashRequest(step);
        case VOTE_LIMIT -> limitDriver.changeLimit(step);
        default -> faults.run(step);
      }
    } catch (RuntimeException failure) {
      // A stand-in that has failed also refuses control calls, which must not end the soak.
      bench.printProgress("step " + step.number() + " failed: " + failure);
    }
  }

  private Map<String, JobOutput> awaitOutputs(
      Deployment deployment, int entry, long timeoutMillis) {
    ApiClient client = deployment.client(entry);
    Map<String, JobOutput> outputs = new HashMap<>();
    long end = System.nanoTime() + timeoutMillis * 1_000_000;
    for (SoakJournal.SubmittedJob job : journal.jobs) {
      long remainingMillis = Math.max(1_000, (end - System.nanoTime()) / 1_000_000);
      outputs.put(job.id(), JobOutput.await(client, job.id(), remainingMillis));
    }
    return outputs;
  }

  private static Map<String, Integer> countExecutions(Deployment deployment) {
    Map<String, Integer> counts = new HashMap<>();
    for (EndpointProcess service : deployment.serviceEndpoints()) {
      String history = deployment.read(service.address().resolve("/control/history"));
      try {
        JsonNode executions = new ObjectMapper().readTree(history).path("executions");
        executions.forEach(
            execution -> counts.merge(execution.path("body_hash").asText(), 1, Integer::sum));
      } catch (IOException failure) {
        throw new UncheckedIOException(failure);
      }
    }
    return counts;
  }

  private ExperimentResult result(
      Bench bench, List<SoakStep> schedule, LoadResult live, List<Violation> violations) {
    List<Figure> figures = new ArrayList<>();
    for (int number = 1; number <= 9; number++) {
      String invariant = "P" + number;
      List<Violation> found =
          violations.stream().filter(violation -> violation.invariant().equals(invariant)).toList();
      figures.add(Figure.atMost(invariant, (double) found.size(), Targets.ZERO));
      found.stream()
          .limit(MAX_SHOWN_PER_INVARIANT)
          .forEach(
              violation ->
                  bench.printProgress("violated " + invariant + ": " + violation.detail()));
    }
    Map<String, Double> counts = new LinkedHashMap<>();
    counts.put("steps", (double) schedule.size());
    counts.put("live-requests", (double) live.records().size());
    counts.put("live-failures", (double) live.failures());
    counts.put("jobs", (double) journal.jobs.size());
    counts.put("jobs-cancelled", (double) journal.cancellations.size());
    counts.put("resubmissions", (double) journal.resubmissions.size());
    counts.put("calls-not-to-be-repeated", (double) journal.serviceCalls.size());
    counts.put("endpoints-drained", (double) journal.drains.size());
    counts.put("planned-stops", (double) journal.stops.size());
    counts.put("failures", (double) journal.failures.size());
    counts.put("votes", (double) journal.limitChanges.size());
    counts.put("limited-admissions", (double) journal.limitedAdmissions.size());
    counts.forEach((name, value) -> figures.add(Figure.reported(name, value)));
    return new ExperimentResult(
        "soak",
        bench.seed(),
        figures,
        Map.of(),
        List.of(),
        List.of(
            new Chart(
                "Live time to first token of whole answers, p99 per 0.5 s",
                "s",
                "ms",
                List.of(TimeSeries.firstTokenLatency("live", live, 99)))));
  }
}
