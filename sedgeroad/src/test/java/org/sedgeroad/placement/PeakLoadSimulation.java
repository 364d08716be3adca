package org.sedgeroad.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.presence.FleetDetails;
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

  /** Ways in which the instances learn each other's loads. */
  enum Exchange {
    /** Each instance sends its reports to all others, every 50 ms. */
    DIRECT,
    /** Reports go to the hubs of the failure domain, which publish the sums. */
    HUBS,
    /** Each change of the work of an instance is known to all others at once. */
    EXACT
  }

  /**
   * Simulated deployment and its load.
   *
   * @param exchange how the instances learn each other's loads
   * @param domains number of failure domains
   * @param instances number of instances
   * @param engines number of engines with 8 slots each
   * @param livePerSecond mean arrival rate of live requests, per second
   * @param lowLoad arrival rate between peaks as a fraction of the mean
   * @param peakLoad arrival rate in a peak as a fraction of the mean
   * @param liveMillis mean time for which a live request holds a slot, in milliseconds
   * @param jobsPerSecond arrival rate of jobs of ten items, per second
   * @param itemMillis mean time for which an item needs a slot, in milliseconds
   * @param dueMillis time from its submission after which a job is due, in milliseconds
   * @param returning number of late requests that arrive together at the start of each third peak,
   *     as after an outage
   * @param lateItems number of items that are already late at the start, as after an outage; they
   *     are of no job whose items are counted
   */
  record Load(
      Exchange exchange,
      int domains,
      int instances,
      int engines,
      double livePerSecond,
      double lowLoad,
      double peakLoad,
      double liveMillis,
      double jobsPerSecond,
      double itemMillis,
      double dueMillis,
      int returning,
      int lateItems) {
    /** Nine instances, eight engines: live work takes 44% of the slots, batch work 37%. */
    static final Load TYPICAL =
        new Load(Exchange.HUBS, 3, 9, 8, 39, 0.377, 1.84, 720, 0.48, 4_900, 18_000, 0, 0);

    /** As typical, on 80 instances in six failure domains that share 29 engines. */
    static final Load LARGE =
        new Load(Exchange.HUBS, 6, 80, 29, 141, 0.377, 1.84, 720, 1.74, 4_900, 18_000, 0, 0);

    /** As typical, on 410 instances in 13 failure domains that share 150 engines. */
    static final Load VERY_LARGE =
        new Load(Exchange.HUBS, 13, 410, 150, 731, 0.377, 1.84, 720, 9, 4_900, 18_000, 0, 0);

    Load withExchange(Exchange next) {
      return new Load(
          next,
          domains,
          instances,
          engines,
          livePerSecond,
          lowLoad,
          peakLoad,
          liveMillis,
          jobsPerSecond,
          itemMillis,
          dueMillis,
          returning,
          lateItems);
    }

    Load withEngines(int next) {
      return new Load(
          exchange,
          domains,
          instances,
          next,
          livePerSecond,
          lowLoad,
          peakLoad,
          liveMillis,
          jobsPerSecond,
          itemMillis,
          dueMillis,
          returning,
          lateItems);
    }

    Load withReturning(int next) {
      return new Load(
          exchange,
          domains,
          instances,
          engines,
          livePerSecond,
          lowLoad,
          peakLoad,
          liveMillis,
          jobsPerSecond,
          itemMillis,
          dueMillis,
          next,
          lateItems);
    }

    Load withLateItems(int next) {
      return new Load(
          exchange,
          domains,
          instances,
          engines,
          livePerSecond,
          lowLoad,
          peakLoad,
          liveMillis,
          jobsPerSecond,
          itemMillis,
          dueMillis,
          returning,
          next);
    }
  }

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

  private final Load load;
  private final SimulatedSpeeds speeds;
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

  PeakLoadSimulation(Load load, SimulatedSpeeds speeds, long seed) {
    this.load = load;
    this.speeds = speeds;
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
  static Figures mean(Load load, int seeds, double seconds) {
    return mean(load, SimulatedSpeeds.EQUAL, seeds, seconds);
  }

  /** As {@link #mean(Load, int, double)}, with engines of other speeds. */
  static Figures mean(Load load, SimulatedSpeeds speeds, int seeds, double seconds) {
    List<Figures> all = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      all.add(new PeakLoadSimulation(load, speeds, seed).run(seconds));
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
        load.livePerSecond() * (phase < LOW_LOAD_MILLIS ? load.lowLoad() : load.peakLoad());
    time.after(
        -Math.log(1 - arrivals.nextDouble()) * 1_000 / rate,
        () -> {
          instances.get(arrivals.nextInt(instances.size())).arrive(0);
          scheduleLive();
        });
  }

  /** Schedules the requests of clients that return within half a second after an outage. */
  private void scheduleReturningRequests() {
    returnStartMillis = time.nanos() / 1e6;
    for (int count = 0; count < load.returning(); count++) {
      time.after(
          500 * arrivals.nextDouble(),
          () -> instances.get(arrivals.nextInt(instances.size())).arrive(1_000));
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
      FleetLoad fleetLoad = load.exchange() == Exchange.HUBS ? hubExchange.view() : directReports;
      this.dispatcher =
          new Dispatcher(name, domain, key -> "region", fleetLoad, time, random::nextDouble);
      dispatcher.setEndpoints(endpoints, List.of());
      dispatcher.setBatchSource(this);
      dispatcher.setLivePolicy(speeds.policy());
      dispatcher.setChangeListener(
          () -> {
            if (load.exchange() == Exchange.EXACT) {
              report();
            } else if (load.exchange() == Exchange.HUBS && !reportScheduled) {
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
      if (load.exchange() == Exchange.HUBS) {
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
              FleetDetails.NONE.withSpeeds(dispatcher.speedSamples()));
      if (load.exchange() == Exchange.HUBS) {
        hubExchange.report(report);
        return;
      }
      for (Instance other : instances) {
        if (other != this && load.exchange() == Exchange.EXACT) {
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
      if (load.exchange() == Exchange.HUBS) {
        hubExchange.receive(message);
      } else {
        directReports.receive((LoadReport) message, time.nanos());
        dispatcher.refresh();
      }
    }

    /** Submits a request whose client had already waited for a time before it arrived here. */
    void arrive(double waitedMillis) {
      double arrived = time.nanos() / 1e6;
      double millis = load.liveMillis() * (0.4 + 1.2 * arrivals.nextDouble());
      boolean[] placed = new boolean[1];
      LiveDemand demand =
          LiveDemand.of(
              SERVICE,
              "",
              0,
              time.nanos() + (long) ((300 - waitedMillis) * 1e6),
              time.nanos() + (long) ((CLIENT_TIMEOUT_MILLIS - waitedMillis) * 1e6),
              Set.of(),
              endpoint -> {
                placed[0] = true;
                send(endpoint, arrived - waitedMillis, millis);
              });
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

    private void send(ServiceEndpoint endpoint, double arrived, double millis) {
      double slowness = speeds.of(endpoint.name());
      RunTiming timing = dispatcher.speeds().begin(endpoint, 0);
      SimulatedEngine.Work work =
          new SimulatedEngine.Work(
              millis * slowness,
              () -> started(arrived, timing, slowness),
              () ->
                  time.after(
                      NETWORK_MILLIS,
                      () -> {
                        timing.received((int) (millis / EVENT_MILLIS));
                        timing.answered();
                        dispatcher.release(endpoint.name(), WorkClass.LIVE);
                      }));
      time.after(NETWORK_MILLIS, () -> engines.get(endpoint.name()).submit(work));
    }

    private void started(double arrived, RunTiming timing, double slowness) {
      time.after(FIRST_EVENT_MILLIS * slowness + NETWORK_MILLIS, () -> timing.received(1));
      if (isMeasured(arrived)) {
        live++;
        double firstEventMillis =
            time.nanos() / 1e6 + FIRST_EVENT_MILLIS * slowness + NETWORK_MILLIS - arrived;
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
    public boolean startNext(ServiceEndpoint endpoint) {
      Optional<SimulatedItem> next =
          items.stream()
              .filter(item -> !item.running)
              .min(Comparator.comparing(this::urgency, ItemUrgency.ORDER));
      next.ifPresent(item -> start(item, endpoint.name()));
      return next.isPresent();
    }

    /** Returns an urgency that is based on the mean time of an item, as in a real instance. */
    private ItemUrgency urgency(SimulatedItem item) {
      double remaining = Math.max(0, load.itemMillis() - (item.totalMillis - item.remainingMillis));
      return new ItemUrgency(
          (long) ((item.submittedMillis + load.dueMillis()) * 1e6),
          time.nanos(),
          (long) (remaining * 1e6));
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
          here.stream()
              .max(
                  Comparator.comparingDouble(
                      (SimulatedItem.Run run) -> run.item().submittedMillis));
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
