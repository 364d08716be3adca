package org.sedgeroad.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.function.ToDoubleFunction;
import org.sedgeroad.gateway.Refusal;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.presence.FleetLoad;
import org.sedgeroad.presence.HubExchange;
import org.sedgeroad.presence.LoadMessage;
import org.sedgeroad.presence.LoadReport;
import org.sedgeroad.presence.LoadReportTable;

/**
 * Simulates live requests beside batch jobs on several instances that share engines. The live load
 * alternates: low load for 3.8 s, then a peak of nearly five times as many requests for 2.8 s.
 * Instances and engines are spread over failure domains of one region.
 */
final class PeakLoadSimulation {
  private static final double REPORT_DELAY_MILLIS = 5;
  private static final double NETWORK_MILLIS = 3;
  private static final double LOW_LOAD_MILLIS = 3_800;
  private static final double CYCLE_MILLIS = 6_600;
  private static final double FIRST_EVENT_MILLIS = 15;
  private static final double EVENT_MILLIS = 34;
  private static final double FRESH_WINDOW_MILLIS = 2_000;
  private static final double CLIENT_TIMEOUT_MILLIS = 5_000;
  private static final String SERVICE = "engine";

  /**
   * Results of a simulation.
   *
   * @param liveOnTime fraction of the started live requests whose first event came within 300 ms
   * @param itemsOnTime fraction of the items that ended before their job was due
   * @param preemptions number of preempted items for each item that ended
   * @param utilization fraction of the slots that were used
   * @param freshOnTime fraction of requests on time among the new live requests that arrived within
   *     2 s after the returning requests had begun to arrive
   * @param unserved number of live requests that got no slot before the client timeout, divided by
   *     the sum of this number and the number of measured requests that started
   * @param messages number of load messages that an instance received in a second
   * @param mostMessages the same for the instance that received most
   */
  record Figures(
      double liveOnTime,
      double itemsOnTime,
      double preemptions,
      double utilization,
      double freshOnTime,
      double unserved,
      double messages,
      double mostMessages) {}

  private final PeakLoad load;
  private final SimulatedSpeeds speeds;
  private final WorkspaceTraffic traffic;
  private final boolean forecasts;
  private final VirtualTime time = new VirtualTime();
  private final Random random;

  /** Separate from the other random numbers, so that each policy gets the same load. */
  private final Random arrivals;

  private final Random jobArrivals;
  private final Map<String, SimulatedEngine> engines = new HashMap<>();
  private final List<ServiceEndpoint> endpoints = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final Map<String, Instance> instancesByName = new HashMap<>();
  private final Map<String, String> domainsByInstance = new HashMap<>();
  private int live;
  private int liveOnTime;
  private int fresh;
  private int freshOnTime;
  private int unserved;
  private double returnStartMillis = -FRESH_WINDOW_MILLIS;
  private int itemsDue;
  private int itemsOnTime;
  private int itemsEnded;
  private int preemptions;
  private double measuredFromMillis;
  private double measuredUntilMillis;

  PeakLoadSimulation(PeakLoad load, SimulatedSpeeds speeds, long seed) {
    this(load, speeds, WorkspaceTraffic.NONE, seed, true);
  }

  PeakLoadSimulation(PeakLoad load, WorkspaceTraffic traffic, long seed) {
    this(load, SimulatedSpeeds.EQUAL, traffic, seed, true);
  }

  /**
   * Creates a simulation.
   *
   * @param forecasts whether items start by the forecast of the live demand, or in any free slot
   */
  PeakLoadSimulation(PeakLoad load, long seed, boolean forecasts) {
    this(load, SimulatedSpeeds.EQUAL, WorkspaceTraffic.NONE, seed, forecasts);
  }

  private PeakLoadSimulation(
      PeakLoad load,
      SimulatedSpeeds speeds,
      WorkspaceTraffic traffic,
      long seed,
      boolean forecasts) {
    this.load = load;
    this.speeds = speeds;
    this.traffic = traffic;
    this.forecasts = forecasts;
    this.random = new Random(seed);
    this.arrivals = new Random(seed + 1);
    this.jobArrivals = new Random(seed + 2);
    for (int number = 0; number < load.engines(); number++) {
      String name = "engine-" + number;
      engines.put(name, new SimulatedEngine(time, 8));
      endpoints.add(
          new ServiceEndpoint(name, SERVICE, "10.0.0." + number + ":80", domain(number), 8, false));
    }
    for (int number = 0; number < load.instances(); number++) {
      domainsByInstance.put("instance-" + number, domain(number));
    }
    for (int number = 0; number < load.instances(); number++) {
      Instance instance = new Instance("instance-" + number, domain(number));
      instances.add(instance);
      instancesByName.put(instance.name, instance);
    }
  }

  private String domain(int number) {
    return "domain-" + number % load.domains();
  }

  /** Runs the load once for each seed from 1 to {@code seeds} and returns the mean figures. */
  static Figures mean(PeakLoad load, int seeds, double seconds) {
    return mean(seeds, seed -> new PeakLoadSimulation(load, seed, true).run(seconds));
  }

  /** As {@link #mean(PeakLoad, int, double)}, by the forecast of the live demand or without it. */
  static Figures mean(PeakLoad load, int seeds, double seconds, boolean forecasts) {
    return mean(seeds, seed -> new PeakLoadSimulation(load, seed, forecasts).run(seconds));
  }

  /** As {@link #mean(PeakLoad, int, double)}, with engines of other speeds. */
  static Figures mean(PeakLoad load, SimulatedSpeeds speeds, int seeds, double seconds) {
    return mean(seeds, seed -> new PeakLoadSimulation(load, speeds, seed).run(seconds));
  }

  private static Figures mean(int seeds, LongFunction<Figures> run) {
    List<Figures> all = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      all.add(run.apply(seed));
    }
    return new Figures(
        mean(all, Figures::liveOnTime),
        mean(all, Figures::itemsOnTime),
        mean(all, Figures::preemptions),
        mean(all, Figures::utilization),
        mean(all, Figures::freshOnTime),
        mean(all, Figures::unserved),
        mean(all, Figures::messages),
        mean(all, Figures::mostMessages));
  }

  private static double mean(List<Figures> all, ToDoubleFunction<Figures> figure) {
    return all.stream().mapToDouble(figure).average().orElseThrow();
  }

  /**
   * Runs the load for a number of seconds. The fractions on time leave out requests and jobs that
   * arrived in the first 5 s, or so late that a job would not be due before the end.
   */
  Figures run(double seconds) {
    measuredFromMillis = 5_000;
    measuredUntilMillis = seconds * 1_000 - load.dueMillis();
    instances.forEach(
        instance -> time.after(random.nextDouble() * HubExchange.TICK_MILLIS, instance::tick));
    for (int number = 0; number < load.lateItems(); number++) {
      instances.get(number % instances.size()).addLateItem();
    }
    scheduleLive();
    scheduleJob();
    if (load.returning() > 0) {
      time.after(LOW_LOAD_MILLIS, this::scheduleReturningRequests);
    }
    time.runUntil(seconds * 1_000);
    double busy = engines.values().stream().mapToDouble(SimulatedEngine::busyMillis).sum();
    return new Figures(
        (double) liveOnTime / Math.max(1, live),
        (double) itemsOnTime / Math.max(1, itemsDue),
        (double) preemptions / Math.max(1, itemsEnded),
        busy / (seconds * 1_000 * 8 * load.engines()),
        (double) freshOnTime / Math.max(1, fresh),
        (double) unserved / Math.max(1, live + unserved),
        instances.stream().mapToInt(instance -> instance.received).average().orElse(0) / seconds,
        instances.stream().mapToInt(instance -> instance.received).max().orElse(0) / seconds);
  }

  private void scheduleLive() {
    double phase = time.nanos() / 1e6 % CYCLE_MILLIS;
    double rate =
        load.livePerSecond()
            * (phase < LOW_LOAD_MILLIS ? load.lowLoad() : load.peakLoad())
            * traffic.rate(time.nanos() / 1e6);
    time.after(
        -Math.log(1 - arrivals.nextDouble()) * 1_000 / rate,
        () -> {
          nextInstance(phase >= LOW_LOAD_MILLIS)
              .arrive(0, traffic.next(time.nanos() / 1e6, arrivals));
          scheduleLive();
        });
  }

  /** Returns the instance at which the next live request arrives. */
  private Instance nextInstance(boolean inPeak) {
    double spread = inPeak ? load.domainSpread() : 0;
    while (true) {
      int number = arrivals.nextInt(instances.size());
      double position = 2.0 * (number % load.domains()) / (load.domains() - 1) - 1;
      if (spread == 0 || arrivals.nextDouble() * (1 + spread) < 1 + spread * position) {
        return instances.get(number);
      }
    }
  }

  /** Schedules the requests of clients that return within half a second after an outage. */
  private void scheduleReturningRequests() {
    returnStartMillis = time.nanos() / 1e6;
    for (int count = 0; count < load.returning(); count++) {
      time.after(
          500 * arrivals.nextDouble(),
          () ->
              instances
                  .get(arrivals.nextInt(instances.size()))
                  .arrive(1_000, traffic.next(time.nanos() / 1e6, arrivals)));
    }
    time.after(3 * CYCLE_MILLIS, this::scheduleReturningRequests);
  }

  private void scheduleJob() {
    time.after(
        -Math.log(1 - jobArrivals.nextDouble()) * 1_000 / load.jobsPerSecond(),
        () -> {
          instances.get(jobArrivals.nextInt(instances.size())).addJob();
          scheduleJob();
        });
  }

  private Map<String, String> domainsOfOthers(String name) {
    Map<String, String> domains = new HashMap<>(domainsByInstance);
    domains.remove(name);
    return domains;
  }

  private boolean isMeasured(double atMillis) {
    return atMillis >= measuredFromMillis && atMillis < measuredUntilMillis;
  }

  /** One instance with its own dispatcher and its own reports of the others. */
  private final class Instance implements BatchSource {
    private final String name;
    private final LoadReportTable directReports = new LoadReportTable();
    private final HubExchange hubExchange;
    private final Dispatcher dispatcher;
    private final List<SimulatedItem> items = new ArrayList<>();
    private final Map<String, List<SimulatedItem.Run>> runs = new HashMap<>();
    private final Map<String, Integer> running = new HashMap<>();
    private long sequence;
    private boolean reportScheduled;
    private int received;

    Instance(String name, String domain) {
      this.name = name;
      this.hubExchange =
          new HubExchange(
              name,
              domain,
              1,
              () -> domainsOfOthers(name),
              (message, names) ->
                  names.forEach(
                      receiver ->
                          time.after(
                              NETWORK_MILLIS,
                              () -> instancesByName.get(receiver).receive(message))),
              time,
              time,
              () -> this.dispatcher().refresh());
      FleetLoad fleetLoad =
          load.exchange() == PeakLoad.Exchange.HUBS ? hubExchange.view() : directReports;
      this.dispatcher =
          new Dispatcher(name, domain, key -> "region", fleetLoad, time, random::nextDouble);
      dispatcher.setEndpoints(endpoints, List.of());
      dispatcher.setBatchSource(this);
      dispatcher.setLivePolicy(speeds.policy());
      dispatcher.setWorkspaces(traffic::directory, () -> running);
      dispatcher.setChangeListener(
          () -> {
            if (load.exchange() == PeakLoad.Exchange.EXACT) {
              report();
            } else if (load.exchange() == PeakLoad.Exchange.HUBS && !reportScheduled) {
              reportScheduled = true;
              time.after(
                  REPORT_DELAY_MILLIS,
                  () -> {
                    reportScheduled = false;
                    report();
                  });
            }
          });
    }

    private Dispatcher dispatcher() {
      return dispatcher;
    }

    void tick() {
      if (load.exchange() == PeakLoad.Exchange.HUBS) {
        hubExchange.tick();
      }
      dispatcher.tick(instances.size() - 1);
      report();
      time.after(HubExchange.TICK_MILLIS, this::tick);
    }

    private void report() {
      LoadReport report =
          new LoadReport(
              name,
              1,
              ++sequence,
              1,
              1,
              dispatcher.liveWaiting(),
              readyByReportName(),
              Map.of(),
              dispatcher.occupancy(),
              dispatcher.sentToLimited(),
              false,
              traffic
                  .details(running, dispatcher.liveWaitingByWorkspace())
                  .withSpeeds(dispatcher.speedSamples()));
      if (load.exchange() == PeakLoad.Exchange.HUBS) {
        hubExchange.report(report);
        return;
      }
      for (Instance other : instances) {
        if (other != this && load.exchange() == PeakLoad.Exchange.EXACT) {
          other.directReports.receive(report, time.nanos());
          if (other.dispatcher.liveWaiting() > 0) {
            time.after(0, other.dispatcher::refresh);
          }
        } else if (other != this) {
          time.after(NETWORK_MILLIS, () -> other.receive(report));
        }
      }
    }

    private void receive(LoadMessage message) {
      received++;
      if (load.exchange() == PeakLoad.Exchange.HUBS) {
        hubExchange.receive(message);
      } else {
        directReports.receive((LoadReport) message, time.nanos());
        dispatcher.refresh();
      }
    }

    /** Submits a request whose client had already waited for a time before it arrived here. */
    void arrive(double waitedMillis, WorkspaceTraffic.Request request) {
      double arrived = time.nanos() / 1e6;
      double millis = load.liveMillis() * (0.4 + 1.2 * arrivals.nextDouble());
      boolean[] placed = new boolean[1];
      LiveDemand demand =
          LiveDemand.of(
              SERVICE,
              request.workspace,
              0,
              time.nanos() + (long) ((300 - waitedMillis) * 1e6),
              time.nanos() + (long) ((CLIENT_TIMEOUT_MILLIS - waitedMillis) * 1e6),
              Set.of(),
              endpoint -> {
                placed[0] = true;
                send(endpoint, arrived - waitedMillis, millis, request);
              });
      Optional<Refusal> refusal = dispatcher.refusal(demand);
      if (refusal.isPresent()) {
        traffic.refused(
            request,
            refusal.get(),
            arrived,
            CLIENT_TIMEOUT_MILLIS - waitedMillis,
            (after, returning) ->
                time.after(
                    after,
                    () ->
                        instances
                            .get(random.nextInt(instances.size()))
                            .arrive(waitedMillis + after, returning)));
        return;
      }
      time.after(
          CLIENT_TIMEOUT_MILLIS - waitedMillis,
          () -> {
            if (!placed[0]) {
              dispatcher.cancel(demand);
              unserved++;
            }
          });
      dispatcher.submit(demand);
    }

    private void send(
        ServiceEndpoint endpoint, double arrived, double millis, WorkspaceTraffic.Request request) {
      running.merge(request.workspace, 1, Integer::sum);
      double slowness = speeds.of(endpoint.name());
      RunTiming timing = dispatcher.speeds().begin(endpoint);
      SimulatedEngine.Work work =
          new SimulatedEngine.Work(
              millis * slowness,
              () -> started(arrived, timing, slowness, request),
              () ->
                  time.after(
                      NETWORK_MILLIS,
                      () -> {
                        running.merge(request.workspace, -1, Integer::sum);
                        timing.received((int) (millis / EVENT_MILLIS));
                        timing.answered();
                        dispatcher.release(endpoint.name(), WorkClass.LIVE);
                      }));
      time.after(NETWORK_MILLIS, () -> engines.get(endpoint.name()).submit(work));
    }

    private void started(
        double arrived, RunTiming timing, double slowness, WorkspaceTraffic.Request request) {
      time.after(FIRST_EVENT_MILLIS * slowness + NETWORK_MILLIS, () -> timing.received(1));
      double firstEventMillis =
          time.nanos() / 1e6 + FIRST_EVENT_MILLIS * slowness + NETWORK_MILLIS - arrived;
      traffic.started(request, firstEventMillis <= 300);
      if (isMeasured(arrived)) {
        live++;
        liveOnTime += firstEventMillis <= 300 ? 1 : 0;
        if (arrived >= returnStartMillis && arrived < returnStartMillis + FRESH_WINDOW_MILLIS) {
          fresh++;
          freshOnTime += firstEventMillis <= 300 ? 1 : 0;
        }
      }
    }

    void addLateItem() {
      items.add(new SimulatedItem(-load.dueMillis(), load.itemMillis()));
    }

    void addJob() {
      double now = time.nanos() / 1e6;
      for (int index = 0; index < 10; index++) {
        items.add(
            new SimulatedItem(now, load.itemMillis() * (0.6 + 0.8 * jobArrivals.nextDouble())));
        itemsDue += isMeasured(now) ? 1 : 0;
      }
      dispatcher.refresh();
    }

    @Override
    public Map<BatchQueue, Integer> ready() {
      Map<BatchQueue, Integer> ready = new HashMap<>();
      for (SimulatedItem item : items) {
        if (!item.running) {
          ready.merge(new BatchQueue(SERVICE, urgency(item).isLate()), 1, Integer::sum);
        }
      }
      return ready;
    }

    private Map<String, Integer> readyByReportName() {
      Map<String, Integer> ready = new HashMap<>();
      ready().forEach((queue, count) -> ready.put(queue.reportName(), count));
      return ready;
    }

    @Override
    public Optional<ItemUrgency> next(String service) {
      return forecasts ? nextItem().map(this::urgency) : Optional.empty();
    }

    @Override
    public boolean startNext(ServiceEndpoint endpoint) {
      Optional<SimulatedItem> next = nextItem();
      next.ifPresent(item -> start(item, endpoint.name()));
      return next.isPresent();
    }

    private Optional<SimulatedItem> nextItem() {
      return items.stream()
          .filter(item -> !item.running)
          .min(Comparator.comparing(this::urgency, ItemUrgency.ORDER));
    }

    /** Returns an urgency that is based on the mean time of an item, as in a real instance. */
    private ItemUrgency urgency(SimulatedItem item) {
      double remaining = Math.max(0, load.itemMillis() - (item.totalMillis - item.remainingMillis));
      return new ItemUrgency(
          (long) ((item.submittedMillis + load.dueMillis()) * 1e6),
          time.nanos(),
          (long) (remaining * 1e6));
    }

    private ItemUrgency urgency(SimulatedItem.Run run) {
      ItemUrgency atStart = urgency(run.item());
      long ranNanos = (long) (run.work().ranMillis(time) * 1e6);
      return new ItemUrgency(
          atStart.dueNanos(), atStart.nowNanos(), Math.max(0, atStart.neededNanos() - ranNanos));
    }

    private void start(SimulatedItem item, String endpoint) {
      item.running = true;
      SimulatedEngine.Work work =
          new SimulatedEngine.Work(
              item.remainingMillis * speeds.of(endpoint),
              () -> {},
              () -> time.after(NETWORK_MILLIS, () -> end(item, endpoint)));
      runs.computeIfAbsent(endpoint, key -> new ArrayList<>())
          .add(new SimulatedItem.Run(item, work));
      time.after(
          NETWORK_MILLIS,
          () -> {
            if (runs.get(endpoint).stream().anyMatch(run -> run.work() == work)) {
              engines.get(endpoint).submit(work);
            }
          });
    }

    private void end(SimulatedItem item, String endpoint) {
      if (runs.get(endpoint).removeIf(run -> run.item() == item)) {
        items.remove(item);
        itemsEnded++;
        boolean onTime = time.nanos() / 1e6 - item.submittedMillis <= load.dueMillis();
        itemsOnTime += onTime && isMeasured(item.submittedMillis) ? 1 : 0;
        dispatcher.release(endpoint, WorkClass.BATCH);
      }
    }

    @Override
    public boolean preempt(String endpoint) {
      List<SimulatedItem.Run> here = runs.getOrDefault(endpoint, new ArrayList<>());
      Optional<SimulatedItem.Run> last =
          here.stream().max(Comparator.comparing(run -> urgency(run), ItemUrgency.ORDER));
      last.ifPresent(
          run -> {
            here.remove(run);
            preemptions++;
            run.item().remainingMillis -=
                Math.max(0, run.work().ranMillis(time) - NETWORK_MILLIS) / speeds.of(endpoint);
            run.item().remainingMillis = Math.max(run.item().remainingMillis, 20) + 15;
            time.after(NETWORK_MILLIS, () -> engines.get(endpoint).cancel(run.work()));
            time.after(50, () -> run.item().running = false);
          });
      return last.isPresent();
    }
  }
}
