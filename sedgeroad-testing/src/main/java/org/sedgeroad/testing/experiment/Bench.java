package org.sedgeroad.testing.experiment;

import java.net.URI;
import java.util.List;
import java.util.function.IntFunction;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.DomainPlan;
import org.sedgeroad.testing.deployment.EntryProcess;
import org.sedgeroad.testing.load.Arrivals;
import org.sedgeroad.testing.load.LengthMix;
import org.sedgeroad.testing.load.LiveLoad;
import org.sedgeroad.testing.load.LoadResult;
import org.sedgeroad.testing.load.PlannedRequest;

/** Provides experiments with a seed, deployments, a load generator and progress output. */
public final class Bench implements AutoCloseable {
  /** Milliseconds per token of a stream that has an engine to itself. */
  static final double TOKEN_MILLIS = 10;

  /** Microseconds that an engine needs for each token of a prompt. */
  static final double PREFILL_MICROS = 50;

  /** Slots of an engine. */
  static final int SLOTS = 8;

  /** Time per token with all 8 slots taken, relative to a single stream: 1 + 7 × 0.02. */
  private static final double FULL_SLOWDOWN = 1.14;

  /**
   * Time after which a caller gives up. The longest answer of any length mix takes less, even if
   * its engine is ten times slower for one turn of the stragglers experiment. The timeout bounds
   * the duration of baselines with long queues.
   */
  private static final long CALLER_TIMEOUT_MILLIS = 6_000;

  private static final double WARM_UP_SECONDS = 2;
  private static final int GENERATOR_THREADS = 2;

  private final long seed;
  private final PooledHttpClient httpClient = PooledHttpClient.create(GENERATOR_THREADS);
  private final long startNanos = System.nanoTime();

  Bench(long seed) {
    this.seed = seed;
  }

  /** Returns the seed of arrivals, lengths and failures. */
  long seed() {
    return seed;
  }

  /** Returns the HTTP client of the load generator. */
  PooledHttpClient httpClient() {
    return httpClient;
  }

  /** Prints a line of progress with the seconds since the start. */
  void printProgress(String text) {
    System.out.printf("%6.1f s  %s%n", (System.nanoTime() - startNanos) / 1e9, text);
  }

  /**
   * Returns a plan with three failure domains of the same number of entry instances and engines,
   * and no plain services.
   */
  static DeploymentPlan evenPlan(int entriesPerDomain, int enginesPerDomain) {
    return fullPlan()
        .withDomains(
            new DomainPlan("neuquen-a", "patagonia-norte", entriesPerDomain, enginesPerDomain, 0),
            new DomainPlan("neuquen-b", "patagonia-norte", entriesPerDomain, enginesPerDomain, 0),
            new DomainPlan("mendoza-a", "cuyo", entriesPerDomain, enginesPerDomain, 0));
  }

  /** Returns the plan of Taller Lenga's deployment without its plain service. */
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

  /** Starts a deployment with a policy and warms it up with some live requests. */
  Deployment deploy(DeploymentPlan plan, Policy policy) {
    printProgress("starting a deployment with policy " + policy.name());
    Deployment deployment = Deployment.start(policy.apply(plan));
    warmUp(deployment);
    return deployment;
  }

  /** Returns the live requests per second that take a fraction (0 to 1) of all slots. */
  static double arrivalRate(DeploymentPlan plan, LengthMix mix, double fraction) {
    int engines = plan.domains().stream().mapToInt(DomainPlan::engines).sum();
    double seconds = mix.meanSlotSeconds(TOKEN_MILLIS * FULL_SLOWDOWN, PREFILL_MICROS);
    return fraction * engines * plan.slots() / seconds;
  }

  /** Starts a load with Poisson arrivals, sent to all entry instances in turn. */
  LiveLoad startPoissonLoad(
      Deployment deployment, String label, LengthMix mix, double perSecond, double seconds) {
    return startLoad(deployment, planRequests(label, mix, perSecond, seconds));
  }

  /** Starts a load of planned requests, sent to all entry instances in turn. */
  LiveLoad startLoad(Deployment deployment, List<PlannedRequest> requests) {
    List<URI> addresses = callerAddresses(deployment);
    return startLoad(deployment, requests, number -> addresses.get(number % addresses.size()));
  }

  /**
   * Starts a load of planned requests.
   *
   * @param targets returns the address of the entry instance for the number of a request
   */
  LiveLoad startLoad(
      Deployment deployment, List<PlannedRequest> requests, IntFunction<URI> targets) {
    DeploymentPlan plan = deployment.plan();
    return LiveLoad.start(
        httpClient, targets, plan.key(), plan.model(), requests, CALLER_TIMEOUT_MILLIS);
  }

  /** Returns the addresses at which the entry instances accept callers. */
  static List<URI> callerAddresses(Deployment deployment) {
    return deployment.entries().stream().map(EntryProcess::callerAddress).toList();
  }

  /** Plans requests with Poisson arrivals and the lengths of a mix. */
  List<PlannedRequest> planRequests(String label, LengthMix mix, double perSecond, double seconds) {
    return PlannedRequest.plan(seed, label, Arrivals.poisson(seed, perSecond, seconds), mix);
  }

  /**
   * Waits for some seconds.
   *
   * @throws IllegalStateException if the thread is interrupted, which ends the experiment
   */
  static void pause(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1_000));
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException("interrupted", interrupted);
    }
  }

  @Override
  public void close() {
    httpClient.close();
  }

  /**
   * Sends live requests whose latency is not measured. New processes still compile their code,
   * which would otherwise count as latency.
   */
  private void warmUp(Deployment deployment) {
    double perSecond = arrivalRate(deployment.plan(), LengthMix.ASSISTANT, 0.3);
    LoadResult result =
        startPoissonLoad(deployment, "warm-up", LengthMix.ASSISTANT, perSecond, WARM_UP_SECONDS)
            .await();
    if (result.failures() > 0) {
      printProgress("warm-up: " + result.failures() + " requests without a complete answer");
    }
  }
}
