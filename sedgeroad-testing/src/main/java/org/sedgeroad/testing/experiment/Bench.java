package org.sedgeroad.testing.experiment;

import java.net.URI;
import java.util.List;
import java.util.function.IntFunction;
import org.sedgeroad.http.HttpCaller;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.DomainPlan;
import org.sedgeroad.testing.deployment.EntryProcess;
import org.sedgeroad.testing.load.Arrivals;
import org.sedgeroad.testing.load.LengthMix;
import org.sedgeroad.testing.load.LiveLoad;
import org.sedgeroad.testing.load.LoadResult;
import org.sedgeroad.testing.load.PlannedRequest;

/** What an experiment needs: the seed, deployments, a load generator and output for progress. */
public final class Bench implements AutoCloseable {
  /** Milliseconds per token of a stream that runs alone. */
  static final double TOKEN_MILLIS = 10;

  /** Microseconds per prompt token. */
  static final double PREFILL_MICROS = 50;

  /** Slots of an engine. */
  static final int SLOTS = 8;

  /** Time per token relative to a stream alone, with all 8 slots taken: 1 + 7 × 0.02. */
  private static final double FULL_SLOWDOWN = 1.14;

  /**
   * Longest wait of a caller. Above the longest answer of the mixes with a tenfold slow worker; it
   * bounds the time that a baseline with long queues takes.
   */
  private static final long CALLER_TIMEOUT_MILLIS = 6_000;

  private static final double WARM_UP_SECONDS = 2;
  private static final int GENERATOR_THREADS = 2;

  private final long seed;
  private final HttpCaller caller = HttpCaller.create(GENERATOR_THREADS);
  private final long startNanos = System.nanoTime();

  Bench(long seed) {
    this.seed = seed;
  }

  /** Returns the seed of the run. */
  long seed() {
    return seed;
  }

  /** Returns the HTTP client of the load generator. */
  HttpCaller caller() {
    return caller;
  }

  /** Prints a line of progress. */
  void printProgress(String text) {
    System.out.printf("%6.1f s  %s%n", (System.nanoTime() - startNanos) / 1e9, text);
  }

  /** Returns a plan with the same number of instances in each of three failure domains. */
  static DeploymentPlan plan(int entriesPerDomain, int enginesPerDomain) {
    return fullPlan()
        .withDomains(
            new DomainPlan("neuquen-a", "patagonia-norte", entriesPerDomain, enginesPerDomain, 0),
            new DomainPlan("neuquen-b", "patagonia-norte", entriesPerDomain, enginesPerDomain, 0),
            new DomainPlan("mendoza-a", "cuyo", entriesPerDomain, enginesPerDomain, 0));
  }

  /** Returns the plan of Taller Lenga's deployment without its plain services. */
  static DeploymentPlan fullPlan() {
    return DeploymentPlan.tallerLenga()
        .withSlots(SLOTS)
        .withDomains(
            new DomainPlan("neuquen-a", "patagonia-norte", 3, 3, 0),
            new DomainPlan("neuquen-b", "patagonia-norte", 3, 3, 0),
            new DomainPlan("mendoza-a", "cuyo", 3, 2, 0))
        .withEngineOptions(
            "--token-millis",
            Double.toString(TOKEN_MILLIS),
            "--prefill-micros",
            Double.toString(PREFILL_MICROS));
  }

  /** Starts a deployment with a policy and sends it some live requests. */
  Deployment deploy(DeploymentPlan plan, Policy policy) {
    printProgress("starting a deployment with policy " + policy.name());
    Deployment deployment = Deployment.start(policy.apply(plan));
    warmUp(deployment);
    return deployment;
  }

  /** Returns the live requests per second that hold a part of all slots. */
  static double arrivalRate(DeploymentPlan plan, LengthMix mix, double fraction) {
    int engines = plan.domains().stream().mapToInt(DomainPlan::engines).sum();
    double seconds = mix.meanSlotSeconds(TOKEN_MILLIS * FULL_SLOWDOWN, PREFILL_MICROS);
    return fraction * engines * plan.slots() / seconds;
  }

  /** Starts a load of Poisson arrivals over all entry instances. */
  LiveLoad poisson(
      Deployment deployment, String label, LengthMix mix, double perSecond, double seconds) {
    return start(deployment, plan(label, mix, perSecond, seconds));
  }

  /** Starts planned requests over all entry instances. */
  LiveLoad start(Deployment deployment, List<PlannedRequest> requests) {
    List<URI> entries = entries(deployment);
    return start(deployment, requests, number -> entries.get(number % entries.size()));
  }

  /** Starts planned requests at the entry instances that are chosen by their numbers. */
  LiveLoad start(Deployment deployment, List<PlannedRequest> requests, IntFunction<URI> targets) {
    DeploymentPlan plan = deployment.plan();
    return LiveLoad.start(
        caller, targets, plan.key(), plan.model(), requests, CALLER_TIMEOUT_MILLIS);
  }

  /** Returns the addresses of the entry instances for callers. */
  static List<URI> entries(Deployment deployment) {
    return deployment.entries().stream().map(EntryProcess::callerAddress).toList();
  }

  /** Returns Poisson arrivals of a mix as planned requests. */
  List<PlannedRequest> plan(String label, LengthMix mix, double perSecond, double seconds) {
    return PlannedRequest.plan(seed, label, Arrivals.poisson(seed, perSecond, seconds), mix);
  }

  /** Waits; an interrupt ends the experiment. */
  static void pause(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1_000));
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException("interrupted", interrupted);
    }
  }

  @Override
  public void close() {
    caller.close();
  }

  /** Fresh processes compile their code; without these requests that would count as latency. */
  private void warmUp(Deployment deployment) {
    double perSecond = arrivalRate(deployment.plan(), LengthMix.ASSISTANT, 0.3);
    LoadResult result =
        poisson(deployment, "warm-up", LengthMix.ASSISTANT, perSecond, WARM_UP_SECONDS).await();
    if (result.failures() > 0) {
      printProgress("warm-up: " + result.failures() + " requests without a whole answer");
    }
  }
}
