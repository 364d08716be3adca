package org.sedgeroad.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.peer.Rendezvous;
import org.sedgeroad.presence.LoadReport;
import org.sedgeroad.presence.Occupancy;
import org.sedgeroad.presence.PeerBook;

/**
 * Hands out the places at the endpoints to the live requests and batch items of this instance,
 * beside what the other instances report. Used on the event loop.
 */
public final class Dispatcher {
  private final String instance;
  private final String domain;
  private final UnaryOperator<String> regionOfDomain;
  private final PeerBook peers;
  private final MonotonicClock clock;
  private final DoubleSupplier random;
  private final EndpointHealth health = new EndpointHealth();
  private final Map<String, Occupancy> own = new HashMap<>();
  private final Set<LiveDemand> waiting = new LinkedHashSet<>();
  private Map<String, ServiceEndpoint> fleet = new LinkedHashMap<>();
  private Set<String> doubtfulNames = Set.of();
  private BatchSource batch = BatchSource.NONE;
  private Runnable onPressure = () -> {};
  private long yieldingRoundNanos;

  /**
   * Creates a dispatcher without endpoints.
   *
   * @param instance name of this instance
   * @param domain failure domain of this instance
   * @param regionOfDomain region of a failure domain
   * @param peers reports of the other instances
   * @param clock source of time
   * @param random numbers from 0 (inclusive) to 1 (exclusive)
   */
  public Dispatcher(
      String instance,
      String domain,
      UnaryOperator<String> regionOfDomain,
      PeerBook peers,
      MonotonicClock clock,
      DoubleSupplier random) {
    this.instance = instance;
    this.domain = domain;
    this.regionOfDomain = regionOfDomain;
    this.peers = peers;
    this.clock = clock;
    this.random = random;
    this.yieldingRoundNanos = clock.nanos() - YieldingPlacement.ROUND_MILLIS * 1_000_000L;
  }

  /** Sets where batch items come from. */
  public void setBatchSource(BatchSource source) {
    batch = source;
  }

  /**
   * Sets what happens when a live request goes to an endpoint without a free place, so that the
   * items of other instances there have to leave.
   */
  public void setPressureListener(Runnable listener) {
    onPressure = listener;
  }

  /** Returns the endpoints that failed lately. */
  public EndpointHealth health() {
    return health;
  }

  // -----------------------------------------------------------------------

  /**
   * Replaces the known endpoints.
   *
   * @param endpoints registered endpoints
   * @param doubtful endpoints without registration, used only if no other is left
   */
  public void setFleet(
      Collection<ServiceEndpoint> endpoints, Collection<ServiceEndpoint> doubtful) {
    Map<String, ServiceEndpoint> next = new LinkedHashMap<>();
    endpoints.forEach(endpoint -> next.put(endpoint.name(), endpoint));
    doubtful.forEach(endpoint -> next.put(endpoint.name(), endpoint));
    fleet = next;
    doubtfulNames =
        doubtful.stream().map(ServiceEndpoint::name).collect(Collectors.toUnmodifiableSet());
    own.keySet().removeIf(name -> !next.containsKey(name) && own.get(name).isEmpty());
    placeWaiting(Map.of(), Optional.empty());
  }

  /** Returns whether any endpoint of a service may get new work. */
  public boolean hasEndpoint(String service, Set<String> excluded) {
    return fleet.values().stream()
        .anyMatch(
            endpoint ->
                endpoint.service().equals(service)
                    && !endpoint.draining()
                    && !excluded.contains(endpoint.name()));
  }

  /**
   * Gives a place to a live request now, or as soon as there is one.
   *
   * <p>A request that yields waits for a round of {@link YieldingPlacement}.
   */
  public void submit(LiveDemand demand) {
    if (demand.canYield(clock.nanos())
        || !place(demand, loads(demand.service(), demand.excluded()))) {
      waiting.add(demand);
    }
  }

  /** Takes back a demand that has no place yet; returns whether it was waiting. */
  public boolean cancel(LiveDemand demand) {
    return waiting.remove(demand);
  }

  /** Gives back a place. */
  public void release(String endpoint, WorkClass workClass) {
    count(endpoint, workClass, -1);
    placeWaiting(Map.of(), Optional.of(endpoint));
    if (waiting.isEmpty()) {
      ServiceEndpoint freed = fleet.get(endpoint);
      if (freed != null) {
        startItems(List.of(freed), workClass == WorkClass.BATCH);
      }
    }
  }

  /** Acts on new reports of other instances. */
  public void refresh() {
    placeWaiting(Map.of(), Optional.empty());
    withdrawItems();
    startItems(List.copyOf(fleet.values()), false);
  }

  /**
   * Acts on time that has passed; called before each report to the others.
   *
   * @param peersExpected number of other instances, heard of or not
   */
  public void tick(int peersExpected) {
    placeWaiting(yieldingShares(peersExpected), Optional.empty());
    withdrawItems();
    startItems(List.copyOf(fleet.values()), false);
  }

  /** Returns the live requests that wait for a place. */
  public int liveWaiting() {
    return waiting.size();
  }

  /** Returns the work of this instance at each endpoint. */
  public Map<String, Occupancy> occupancy() {
    Map<String, Occupancy> current = new HashMap<>(own);
    current.values().removeIf(Occupancy::isEmpty);
    return current;
  }

  /** Returns what is known of the endpoints of a service that may get new work. */
  public List<EndpointLoad> loads(String service, Set<String> excluded) {
    List<LoadReport> reports = peers.current(clock.nanos());
    List<EndpointLoad> loads = new ArrayList<>();
    for (ServiceEndpoint endpoint : fleet.values()) {
      if (endpoint.service().equals(service)
          && !endpoint.draining()
          && !excluded.contains(endpoint.name())) {
        loads.add(load(endpoint, reports));
      }
    }
    return loads;
  }

  // -----------------------------------------------------------------------

  private boolean place(LiveDemand demand, List<EndpointLoad> loads) {
    Optional<LiveChoice> choice = LivePlacement.choose(loads, demand.canYield(clock.nanos()));
    choice.ifPresent(
        chosen -> {
          if (chosen.preemptBatch()) {
            withdrawItem(chosen.endpoint().name());
          }
          count(chosen.endpoint().name(), WorkClass.LIVE, 1);
          if (chosen.queued()) {
            onPressure.run();
          }
          demand.place(chosen.endpoint());
        });
    return choice.isPresent();
  }

  /**
   * Begins a round of yielding requests if it is time; returns this instance's parts by service.
   */
  private Map<String, Integer> yieldingShares(int peersExpected) {
    long now = clock.nanos();
    Map<String, Integer> yielding = new HashMap<>();
    for (LiveDemand demand : waiting) {
      if (demand.canYield(now)) {
        yielding.merge(demand.service(), 1, Integer::sum);
      }
    }
    int heard = peers.heardSince(yieldingRoundNanos, now);
    if (yielding.isEmpty()
        || !YieldingPlacement.mayBegin(heard, peersExpected, now - yieldingRoundNanos)) {
      return Map.of();
    }
    yieldingRoundNanos = now;
    List<LoadReport> reports = peers.current(now);
    int unheard = Math.max(0, peersExpected - reports.size());
    int others = reports.stream().mapToInt(LoadReport::liveWaiting).sum();
    Map<String, Integer> shares = new HashMap<>();
    yielding.forEach(
        (service, count) ->
            shares.put(
                service,
                YieldingPlacement.share(
                    loads(service, Set.of()), count, others, unheard, random.getAsDouble())));
    return shares;
  }

  /**
   * Places waiting requests.
   *
   * @param yieldingShares yielding requests that may take any place, by service
   * @param freed endpoint whose place this instance has given back, which one yielding request may
   *     take over
   */
  private void placeWaiting(Map<String, Integer> yieldingShares, Optional<String> freed) {
    if (waiting.isEmpty()) {
      return;
    }
    long now = clock.nanos();
    List<LiveDemand> ordered = new ArrayList<>(waiting);
    ordered.sort(LiveOrder.at(now));
    Map<String, Integer> shares = new HashMap<>(yieldingShares);
    Set<String> full = new HashSet<>();
    Optional<ServiceEndpoint> free = freed.map(fleet::get);
    for (LiveDemand demand : ordered) {
      String service = demand.service();
      if (!demand.canYield(now)) {
        // A demand with exclusions may fail where another of its service succeeds.
        if (!full.contains(service)
            && !placeWaiting(demand, loads(service, demand.excluded()))
            && demand.excluded().isEmpty()) {
          full.add(service);
        }
      } else if (shares.getOrDefault(service, 0) > 0) {
        boolean placed = placeWaiting(demand, loads(service, demand.excluded()));
        shares.put(service, placed ? shares.get(service) - 1 : 0);
      } else if (free.isPresent() && service.equals(free.get().service())) {
        boolean placed = placeWaiting(demand, loadsAt(demand, free.get().name()));
        // What is full for one without exclusions is full for all others of the service.
        if (placed || demand.excluded().isEmpty()) {
          free = Optional.empty();
        }
      }
    }
  }

  /** Places a waiting request at one of the endpoints; it goes on waiting if there is no place. */
  private boolean placeWaiting(LiveDemand demand, List<EndpointLoad> loads) {
    // Placing one may end another, which is then no longer waiting.
    if (!waiting.remove(demand)) {
      return true;
    }
    boolean placed = place(demand, loads);
    if (!placed) {
      waiting.add(demand);
    }
    return placed;
  }

  private List<EndpointLoad> loadsAt(LiveDemand demand, String endpoint) {
    return loads(demand.service(), demand.excluded()).stream()
        .filter(load -> load.endpoint().name().equals(endpoint))
        .toList();
  }

  private void withdrawItems() {
    List<LoadReport> reports = peers.current(clock.nanos());
    for (ServiceEndpoint endpoint : List.copyOf(fleet.values())) {
      Occupancy ours = own.getOrDefault(endpoint.name(), Occupancy.NONE);
      if (ours.batch() > 0) {
        int leaving =
            BatchPlacement.withdrawal(load(endpoint, reports), isFirst(endpoint, reports));
        for (int index = 0; index < leaving; index++) {
          withdrawItem(endpoint.name());
        }
      }
    }
  }

  private void withdrawItem(String endpoint) {
    if (batch.withdraw(endpoint)) {
      count(endpoint, WorkClass.BATCH, -1);
    }
  }

  /** Returns whether this instance is the first to withdraw items among those that have some. */
  private boolean isFirst(ServiceEndpoint endpoint, List<LoadReport> reports) {
    List<String> holders = new ArrayList<>();
    for (LoadReport report : reports) {
      if (report.occupancy().getOrDefault(endpoint.name(), Occupancy.NONE).batch() > 0) {
        holders.add(report.instance());
      }
    }
    return Rendezvous.isFirst(endpoint.name(), instance, holders);
  }

  /**
   * Starts batch items.
   *
   * @param inherited whether the place was this instance's until now, so that no other instance
   *     counts on it
   */
  private void startItems(List<ServiceEndpoint> endpoints, boolean inherited) {
    List<LoadReport> reports = peers.current(clock.nanos());
    int liveWaiting = waiting.size();
    for (LoadReport report : reports) {
      liveWaiting += report.liveWaiting();
    }
    Set<String> services = batch.services();
    if (liveWaiting > 0 || services.isEmpty()) {
      return;
    }
    for (ServiceEndpoint endpoint : endpoints) {
      if (!endpoint.draining() && services.contains(endpoint.service())) {
        startItemsAt(endpoint, reports, inherited);
      }
    }
  }

  private void startItemsAt(ServiceEndpoint endpoint, List<LoadReport> reports, boolean inherited) {
    int ownReady = batch.ready(endpoint.service());
    int allReady = ownReady;
    for (LoadReport report : reports) {
      allReady += report.batchReady().getOrDefault(endpoint.service(), 0);
    }
    EndpointLoad load = load(endpoint, reports);
    int allowed = BatchPlacement.allowance(load, ownReady, allReady, random.getAsDouble());
    if (inherited && load.free() > BatchPlacement.RESERVED_PLACES) {
      allowed = Math.max(allowed, 1);
    }
    for (int index = 0; index < allowed && batch.startNext(endpoint); index++) {
      count(endpoint.name(), WorkClass.BATCH, 1);
    }
  }

  private void count(String endpoint, WorkClass workClass, int change) {
    own.merge(
        endpoint,
        workClass == WorkClass.LIVE ? new Occupancy(change, 0) : new Occupancy(0, change),
        (before, delta) -> before.plus(delta.live(), delta.batch()));
  }

  private EndpointLoad load(ServiceEndpoint endpoint, List<LoadReport> reports) {
    Occupancy ours = own.getOrDefault(endpoint.name(), Occupancy.NONE);
    int live = ours.live();
    int items = ours.batch();
    for (LoadReport report : reports) {
      Occupancy theirs = report.occupancy().getOrDefault(endpoint.name(), Occupancy.NONE);
      live += theirs.live();
      items += theirs.batch();
    }
    return new EndpointLoad(
        endpoint,
        distance(endpoint.domain()),
        live,
        items,
        ours.batch(),
        doubtfulNames.contains(endpoint.name())
            || health.isSuspect(endpoint.name(), clock.nanos()));
  }

  private EndpointLoad.Distance distance(String other) {
    if (other.equals(domain)) {
      return EndpointLoad.Distance.SAME_DOMAIN;
    }
    return regionOfDomain.apply(other).equals(regionOfDomain.apply(domain))
        ? EndpointLoad.Distance.SAME_REGION
        : EndpointLoad.Distance.OTHER_REGION;
  }
}
