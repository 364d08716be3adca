package org.sedgeroad.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.sedgeroad.gateway.PromptPrefix;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.presence.LoadReport;
import org.sedgeroad.presence.LoadReportTable;

/**
 * Several instances that send prompts with shared parts to engines with a limited memory, by counts
 * that are up to 50 ms old. The popularity of the shared parts has a Zipf distribution; one of them
 * is replaced by a new one at times. Engines crash and return with an empty memory; every second
 * one returns under the name of its previous incarnation.
 */
final class CachedPromptsSimulation {
  private static final String SERVICE = "engine";
  private static final int ENGINES = 8;
  private static final double NETWORK_MILLIS = 2;
  private static final double REPORT_MILLIS = 40;
  private static final double REPLACEMENT_MILLIS = 4_000;
  private static final double WARM_UP_MILLIS = 10_000;

  /** How an endpoint is chosen. */
  enum Scheme {
    /** Cached prompts are ignored. */
    IGNORED,
    /** The endpoint that has most of the prompt cached, whatever its load. */
    HOLDER,
    /** The shipped one. */
    SHIPPED
  }

  /**
   * The load.
   *
   * @param instances number of instances
   * @param sharedParts number of parts that requests share
   * @param sharedTokens tokens of each of them
   * @param ownTokens tokens of the last part of a prompt
   * @param perSecond requests per second
   * @param crashMillis time between two crashes of engines, in milliseconds
   */
  record Load(
      int instances,
      int sharedParts,
      int sharedTokens,
      int ownTokens,
      double perSecond,
      double crashMillis) {}

  /**
   * Figures of the requests after the warm-up.
   *
   * @param medianMillis median of the times to the first event
   * @param p99Millis 99th percentile of them
   * @param prefilledTokens tokens that engines processed for each request
   * @param largestShare largest fraction of all requests that one engine got
   */
  record Figures(
      double medianMillis, double p99Millis, double prefilledTokens, double largestShare) {}

  private final Load load;
  private final Scheme scheme;
  private final VirtualTime time = new VirtualTime();
  private final Random arrivals;
  private final Random choices;
  private final List<Instance> instances = new ArrayList<>();
  private final Map<String, SimulatedPromptEngine> engines = new HashMap<>();
  private final Map<String, Set<Runnable>> atEngines = new HashMap<>();
  private final List<ServiceEndpoint> endpoints = new ArrayList<>();
  private final String[] shared;
  private final double[] popularity;
  private final List<Double> firstEventMillis = new ArrayList<>();
  private final Map<String, Integer> sent = new HashMap<>();
  private int replacements;
  private int requests;
  private int crashes;

  private CachedPromptsSimulation(Load load, Scheme scheme, long seed) {
    this.load = load;
    this.scheme = scheme;
    this.arrivals = new Random(seed);
    this.choices = new Random(seed + 1);
    this.shared = new String[load.sharedParts()];
    this.popularity = new double[shared.length];
    for (int index = 0; index < shared.length; index++) {
      shared[index] = "part-" + index;
      popularity[index] = 1.0 / (index + 1);
    }
    for (int index = 0; index < ENGINES; index++) {
      String name = "engine-" + index;
      endpoints.add(new ServiceEndpoint(name, SERVICE, name, "domain", 8, false, 1));
      engines.put(name, new SimulatedPromptEngine(time));
      atEngines.put(name, new LinkedHashSet<>());
    }
    for (int index = 0; index < load.instances(); index++) {
      instances.add(new Instance("instance-" + index));
    }
  }

  /** Returns the figures of all requests of some simulations with different seeds. */
  static Figures run(Load load, Scheme scheme, int seeds, double seconds) {
    List<Double> times = new ArrayList<>();
    double tokens = 0;
    double largestShare = 0;
    for (int seed = 0; seed < seeds; seed++) {
      CachedPromptsSimulation simulation = new CachedPromptsSimulation(load, scheme, 100 * seed);
      tokens += simulation.run(seconds * 1_000);
      times.addAll(simulation.firstEventMillis);
      int largest = simulation.sent.values().stream().mapToInt(Integer::intValue).max().orElse(0);
      largestShare += (double) largest / simulation.requests / seeds;
    }
    double[] sorted = times.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    return new Figures(
        sorted[sorted.length / 2],
        sorted[sorted.length * 99 / 100],
        tokens / sorted.length,
        largestShare);
  }

  /** Runs the simulation; returns the number of processed prompt tokens after the warm-up. */
  private long run(double millis) {
    scheduleArrival();
    time.after(REPLACEMENT_MILLIS, this::replacePart);
    time.after(load.crashMillis(), this::crashEngine);
    instances.forEach(Instance::tick);
    time.runUntil(WARM_UP_MILLIS);
    final long before = prefilledTokens();
    time.runUntil(millis);
    return prefilledTokens() - before;
  }

  private long prefilledTokens() {
    return engines.values().stream().mapToLong(engine -> engine.prefilledTokens).sum();
  }

  private void scheduleArrival() {
    time.after(
        -Math.log(1 - arrivals.nextDouble()) * 1_000 / load.perSecond(),
        () -> {
          double left = arrivals.nextDouble() * Arrays.stream(popularity).sum();
          int part = 0;
          while (part < shared.length - 1 && left >= popularity[part]) {
            left -= popularity[part++];
          }
          PromptPrefix prompt =
              PromptPrefix.of(
                  List.of(
                      new PromptPrefix.Part(shared[part], load.sharedTokens()),
                      new PromptPrefix.Part("own-" + requests++, load.ownTokens())));
          double outputMillis = 700 * (0.4 + 1.2 * arrivals.nextDouble());
          Instance instance = instances.get(arrivals.nextInt(instances.size()));
          instance.arrive(prompt, outputMillis, time.nanos() / 1e6, Set.of());
          scheduleArrival();
        });
  }

  private void replacePart() {
    shared[arrivals.nextInt(shared.length)] = "replacement-" + replacements++;
    time.after(REPLACEMENT_MILLIS, this::replacePart);
  }

  private void crashEngine() {
    int index = crashes++ % ENGINES;
    ServiceEndpoint before = endpoints.get(index);
    engines.get(before.name()).crash();
    List<Runnable> lost = List.copyOf(atEngines.get(before.name()));
    atEngines.get(before.name()).clear();
    time.after(NETWORK_MILLIS, () -> lost.forEach(Runnable::run));
    if (crashes % 2 == 0) {
      endpoints.set(
          index,
          new ServiceEndpoint(
              before.name(), SERVICE, before.address(), "domain", 8, false, 1 + crashes));
      List<ServiceEndpoint> next = List.copyOf(endpoints);
      instances.forEach(
          instance -> time.after(500, () -> instance.dispatcher.setEndpoints(next, List.of())));
    }
    time.after(load.crashMillis(), this::crashEngine);
  }

  /** Chooses the endpoint that saves most, and any other one only if none saves anything. */
  private static Optional<LiveChoice> chooseHolder(
      List<EndpointLoad> loads, boolean deferrable, RunTimes times, DoubleSupplier random) {
    return loads.stream()
        .filter(load -> load.saving().knownMillis() > 0)
        .max(Comparator.comparingDouble(load -> load.saving().knownMillis()))
        .map(load -> new LiveChoice(load.endpoint(), false))
        .or(() -> LivePlacement.choose(loads, deferrable, times, random));
  }

  private final class Instance {
    private final String name;
    private final LoadReportTable reports = new LoadReportTable();
    private final Dispatcher dispatcher;
    private long sequence;

    Instance(String name) {
      this.name = name;
      this.dispatcher =
          new Dispatcher(name, "domain", key -> "region", reports, time, choices::nextDouble);
      dispatcher.prompts().setCacheTokens(service -> SimulatedPromptEngine.MEMORY_TOKENS);
      dispatcher.setEndpoints(endpoints, List.of());
      if (scheme == Scheme.HOLDER) {
        dispatcher.setLivePolicy(CachedPromptsSimulation::chooseHolder);
        dispatcher.prompts().setLeastPromptMillis(0);
      }
    }

    void tick() {
      dispatcher.tick(instances.size() - 1);
      LoadReport report =
          new LoadReport(
              name,
              1,
              ++sequence,
              1,
              1,
              dispatcher.liveWaiting(),
              Map.of(),
              Map.of(),
              dispatcher.occupancy(),
              Map.of(),
              false);
      for (Instance other : instances) {
        if (other != this) {
          time.after(
              NETWORK_MILLIS,
              () -> {
                other.reports.receive(report, time.nanos());
                if (other.dispatcher.liveWaiting() > 0) {
                  other.dispatcher.refresh();
                }
              });
        }
      }
      time.after(REPORT_MILLIS, this::tick);
    }

    void arrive(PromptPrefix prompt, double outputMillis, double arrived, Set<String> excluded) {
      Consumer<ServiceEndpoint> send =
          endpoint -> send(endpoint, prompt, outputMillis, arrived, excluded);
      long objective = (long) ((arrived + 300) * 1e6);
      long deadline = (long) ((arrived + 5_000) * 1e6);
      LiveDemand demand = LiveDemand.of(SERVICE, "", 0, objective, deadline, excluded, send);
      dispatcher.submit(scheme == Scheme.IGNORED ? demand : demand.withPrompt(prompt));
    }

    private void send(
        ServiceEndpoint endpoint,
        PromptPrefix prompt,
        double outputMillis,
        double arrived,
        Set<String> excluded) {
      String engine = endpoint.name();
      sent.merge(engine, 1, Integer::sum);
      RunTiming timing = dispatcher.prompts().begin(endpoint, prompt);
      boolean[] begun = new boolean[1];
      Runnable lost =
          () -> {
            dispatcher.health().recordBrokenAnswer(engine, time.nanos());
            dispatcher.release(engine, WorkClass.LIVE);
            Set<String> next = new HashSet<>(excluded);
            next.add(engine);
            if (!begun[0]) {
              arrive(prompt, outputMillis, arrived, next);
            }
          };
      SimulatedPromptEngine.Work work =
          new SimulatedPromptEngine.Work(
              prompt,
              outputMillis,
              () -> {
                begun[0] = true;
                timing.received(1);
                if (arrived >= WARM_UP_MILLIS) {
                  firstEventMillis.add(time.nanos() / 1e6 + NETWORK_MILLIS - arrived);
                }
              },
              () -> {
                atEngines.get(engine).remove(lost);
                timing.answered();
                time.after(NETWORK_MILLIS, () -> dispatcher.release(engine, WorkClass.LIVE));
              });
      time.after(
          NETWORK_MILLIS,
          () -> {
            atEngines.get(engine).add(lost);
            engines.get(engine).submit(work);
          });
    }
  }
}
