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
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.peer.RendezvousHashing;
import org.sedgeroad.presence.EndpointTotal;
import org.sedgeroad.presence.FleetLoad;
import org.sedgeroad.presence.LoadTotals;
import org.sedgeroad.presence.Occupancy;

/**
 * Assigns slots at the endpoints to the live requests and batch items of this instance, taking into
 * account the slots that the other instances report as taken. Used on the event loop.
 */
public final class Dispatcher {
  /** Upper bound of the estimated time until a limited rate allows a request, in nanoseconds. */
  private static final double LONGEST_WAIT_NANOS = 3.6e12;

  private final String instance;
  private final String domain;
  private final UnaryOperator<String> regionOfDomain;
  private final FleetLoad fleetLoad;
  private final MonotonicClock clock;
  private final DoubleSupplier random;
  private final EndpointHealth health = new EndpointHealth();
  private final Map<String, Occupancy> ownOccupancy = new HashMap<>();
  private final Set<LiveDemand> waiting = new LinkedHashSet<>();

  /** Distances of failure domains, computed again at each tick because settings may be reloaded. */
  private final Map<String, EndpointLoad.Distance> distances = new HashMap<>();

  private Map<String, ServiceEndpoint> endpointsByName = new LinkedHashMap<>();
  private Set<String> unregisteredNames = Set.of();
  private EndpointRestrictions restrictions = EndpointRestrictions.NONE;
  private BatchSource batchSource = BatchSource.NONE;
  private Runnable changeListener = () -> {};
  private long lastDeferralRoundNanos;

  /**
   * Creates a dispatcher without endpoints.
   *
   * @param instance name of this instance
   * @param domain failure domain of this instance
   * @param regionOfDomain returns the region of a failure domain
   * @param fleetLoad load of the other instances
   * @param clock source of monotonic time
   * @param random source of random numbers from 0 (inclusive) to 1 (exclusive)
   */
  public Dispatcher(
      String instance,
      String domain,
      UnaryOperator<String> regionOfDomain,
      FleetLoad fleetLoad,
      MonotonicClock clock,
      DoubleSupplier random) {
    this.instance = instance;
    this.domain = domain;
    this.regionOfDomain = regionOfDomain;
    this.fleetLoad = fleetLoad;
    this.clock = clock;
    this.random = random;
    this.lastDeferralRoundNanos =
        clock.nanos() - DeferredPlacement.ROUND_TIMEOUT_MILLIS * 1_000_000L;
  }

  /**
   * Sets what restricts the requests to endpoints; {@link EndpointRestrictions#NONE} until then.
   */
  public void setRestrictions(EndpointRestrictions next) {
    restrictions = next;
  }

  /** Sets the source of the batch items; {@link BatchSource#NONE} until then. */
  public void setBatchSource(BatchSource source) {
    batchSource = source;
  }

  /**
   * Sets the task that runs when the work of this instance has changed. It should report the work
   * to the other instances soon, so that they do not count on its slots, and preempt their items
   * where live requests need slots.
   */
  public void setChangeListener(Runnable listener) {
    changeListener = listener;
  }

  /** Returns the health of the endpoints, to which recent failures and successes are reported. */
  public EndpointHealth health() {
    return health;
  }

  /**
   * Replaces the known endpoints and places waiting requests.
   *
   * @param endpoints registered endpoints
   * @param unregistered endpoints without a registration, treated as suspect
   */
  public void setEndpoints(
      Collection<ServiceEndpoint> endpoints, Collection<ServiceEndpoint> unregistered) {
    Map<String, ServiceEndpoint> next = new LinkedHashMap<>();
    endpoints.forEach(endpoint -> next.put(endpoint.name(), endpoint));
    unregistered.forEach(endpoint -> next.put(endpoint.name(), endpoint));
    endpointsByName = next;
    unregisteredNames =
        unregistered.stream().map(ServiceEndpoint::name).collect(Collectors.toUnmodifiableSet());
    ownOccupancy
        .keySet()
        .removeIf(name -> !next.containsKey(name) && ownOccupancy.get(name).isEmpty());
    restrictions.retain(endpointsByName.values());
    placeWaiting(Map.of(), Optional.empty());
  }

  /**
   * Returns whether any endpoint of a service accepts new work.
   *
   * @param service name of the service
   * @param excluded names of endpoints that don't count
   */
  public boolean hasEndpoint(String service, Set<String> excluded) {
    return !usable(service, excluded).isEmpty();
  }

  /**
   * Returns the time until a live request that arrives now can be sent if each endpoint of its
   * service accepts only a limited rate, in nanoseconds; 0 if one states no limit, {@link
   * Long#MAX_VALUE} if only other instances may send to them.
   *
   * @param service name of the service
   * @param excluded names of endpoints that the request must not use
   */
  public long nanosUntilRateAllows(String service, Set<String> excluded) {
    double rate = 0;
    for (ServiceEndpoint endpoint : usable(service, excluded)) {
      OptionalDouble limit = restrictions.rate(endpoint);
      if (limit.isEmpty() || restrictions.allowance(endpoint) > 0) {
        return 0;
      }
      rate += limit.getAsDouble();
    }
    double before = waitingEverywhere(service);
    return rate == 0
        ? Long.MAX_VALUE
        : (long) Math.min(LONGEST_WAIT_NANOS, (before + 1) / rate * 1e9);
  }

  /**
   * Returns how many live requests wait for a service, if those of the other instances are for the
   * same services as those of this one.
   */
  private double waitingEverywhere(String service) {
    long own = waiting.stream().filter(demand -> demand.service().equals(service)).count();
    return own == 0
        ? 0
        : own + (double) own / waiting.size() * fleetLoad.others(clock.nanos()).liveWaiting();
  }

  private List<ServiceEndpoint> usable(String service, Set<String> excluded) {
    return endpointsByName.values().stream()
        .filter(
            endpoint ->
                endpoint.service().equals(service)
                    && acceptsWork(endpoint)
                    && !excluded.contains(endpoint.name()))
        .toList();
  }

  private boolean acceptsWork(ServiceEndpoint endpoint) {
    return !endpoint.draining() && !restrictions.isLeaving(endpoint);
  }

  /**
   * Places a live request now, or as soon as a slot is available.
   *
   * <p>A deferrable request waits for a round of {@link DeferredPlacement}, or for a slot that this
   * instance releases.
   */
  public void submit(LiveDemand demand) {
    if (demand.isDeferrable(clock.nanos())
        || !place(demand, loads(demand.service(), demand.excluded()))) {
      waiting.add(demand);
      changeListener.run();
    }
  }

  /** Removes a live request that has no slot yet; returns whether it was waiting. */
  public boolean cancel(LiveDemand demand) {
    return waiting.remove(demand);
  }

  /** Releases a slot at an endpoint and uses it for waiting work. */
  public void release(String endpoint, WorkClass workClass) {
    addOccupancy(endpoint, workClass, -1);
    placeWaiting(Map.of(), Optional.of(endpoint));
    if (waiting.isEmpty()) {
      ServiceEndpoint freed = endpointsByName.get(endpoint);
      if (freed != null) {
        startItems(List.of(freed), workClass == WorkClass.BATCH);
      }
    }
  }

  /**
   * Places waiting live requests, then preempts and starts batch items. To be called after a report
   * of another instance was received, or after this instance got new items.
   */
  public void refresh() {
    placeWaiting(Map.of(), Optional.empty());
    preemptItems();
    startItems(List.copyOf(endpointsByName.values()), false);
  }

  /**
   * Does the same as {@link #refresh}, and begins a round of deferrable requests if one is due. To
   * be called before each report to the other instances.
   *
   * @param peersExpected number of other instances, whether or not they have reported
   */
  public void tick(int peersExpected) {
    distances.clear();
    restrictions.update(peersExpected);
    placeWaiting(deferredShares(peersExpected), Optional.empty());
    preemptItems();
    startItems(List.copyOf(endpointsByName.values()), false);
  }

  /** Returns the number of live requests that wait for a slot. */
  public int liveWaiting() {
    return waiting.size();
  }

  /** Returns the work of this instance by endpoint name, without endpoints that have none. */
  public Map<String, Occupancy> occupancy() {
    Map<String, Occupancy> current = new HashMap<>(ownOccupancy);
    current.values().removeIf(Occupancy::isEmpty);
    return current;
  }

  /**
   * Returns the number of requests that this instance has sent lately to endpoints with a limited
   * rate, by the names of their incarnations.
   */
  public Map<String, Integer> sentToLimited() {
    return restrictions.sentToLimited();
  }

  /**
   * Returns the load of each endpoint of a service that accepts new work.
   *
   * @param service name of the service
   * @param excluded names of endpoints to leave out
   */
  public List<EndpointLoad> loads(String service, Set<String> excluded) {
    LoadTotals others = fleetLoad.others(clock.nanos());
    List<EndpointLoad> loads = new ArrayList<>();
    for (ServiceEndpoint endpoint : usable(service, excluded)) {
      loads.add(load(endpoint, others));
    }
    return loads;
  }

  private boolean place(LiveDemand demand, List<EndpointLoad> loads) {
    Optional<LiveChoice> choice =
        LivePlacement.choose(loads, demand.isDeferrable(clock.nanos()), random);
    choice.ifPresent(
        chosen -> {
          if (chosen.preemptBatch()) {
            preemptItem(chosen.endpoint().name());
          }
          restrictions.sent(chosen.endpoint());
          addOccupancy(chosen.endpoint().name(), WorkClass.LIVE, 1);
          demand.place(chosen.endpoint());
        });
    return choice.isPresent();
  }

  /**
   * Begins a round of deferrable requests if one is due, and returns how many of them this instance
   * may place, by service.
   */
  private Map<String, Integer> deferredShares(int peersExpected) {
    long now = clock.nanos();
    Map<String, Integer> deferred = new HashMap<>();
    for (LiveDemand demand : waiting) {
      if (demand.isDeferrable(now)) {
        deferred.merge(demand.service(), 1, Integer::sum);
      }
    }
    boolean exchanged = fleetLoad.hasExchangedSince(lastDeferralRoundNanos, peersExpected, now);
    if (deferred.isEmpty()
        || !DeferredPlacement.mayBegin(exchanged, now - lastDeferralRoundNanos)) {
      return Map.of();
    }
    lastDeferralRoundNanos = now;
    LoadTotals others = fleetLoad.others(now);
    int notReporting = Math.max(0, peersExpected - others.reporters());
    Map<String, Integer> shares = new HashMap<>();
    deferred.forEach(
        (service, count) ->
            shares.put(
                service,
                DeferredPlacement.share(
                    loads(service, Set.of()),
                    count,
                    others.liveWaiting(),
                    notReporting,
                    random.getAsDouble())));
    return shares;
  }

  /**
   * Places waiting requests.
   *
   * @param deferredShares number of deferrable requests that may be placed at any endpoint, by
   *     service
   * @param freed endpoint where this instance has released a slot, which one deferrable request may
   *     take over
   */
  private void placeWaiting(Map<String, Integer> deferredShares, Optional<String> freed) {
    if (waiting.isEmpty()) {
      return;
    }
    long now = clock.nanos();
    List<LiveDemand> ordered = new ArrayList<>(waiting);
    ordered.sort(LiveOrder.at(now));
    Map<String, Integer> shares = new HashMap<>(deferredShares);
    Set<String> fullServices = new HashSet<>();
    Optional<ServiceEndpoint> freedEndpoint = freed.map(endpointsByName::get);
    for (LiveDemand demand : ordered) {
      String service = demand.service();
      if (!demand.isDeferrable(now)) {
        // A request with excluded endpoints may fail where another of its service succeeds, so
        // only a request without exclusions shows that the service is full.
        if (!fullServices.contains(service)
            && !placeWaiting(demand, loads(service, demand.excluded()))
            && demand.excluded().isEmpty()) {
          fullServices.add(service);
        }
      } else if (shares.getOrDefault(service, 0) > 0) {
        boolean placed = placeWaiting(demand, loads(service, demand.excluded()));
        shares.put(service, placed ? shares.get(service) - 1 : 0);
      } else if (freedEndpoint.isPresent() && service.equals(freedEndpoint.get().service())) {
        boolean placed = placeWaiting(demand, loadsAt(demand, freedEndpoint.get().name()));
        // An endpoint that is full for a request without exclusions is full for all others of the
        // service.
        if (placed || demand.excluded().isEmpty()) {
          freedEndpoint = Optional.empty();
        }
      }
    }
  }

  /**
   * Places a waiting request at one of the endpoints; it keeps waiting if none has a slot. Returns
   * whether it no longer waits.
   */
  private boolean placeWaiting(LiveDemand demand, List<EndpointLoad> loads) {
    // Placing one request may end another, which is then no longer waiting.
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

  private void preemptItems() {
    LoadTotals others = fleetLoad.others(clock.nanos());
    for (ServiceEndpoint endpoint : List.copyOf(endpointsByName.values())) {
      Occupancy ours = ownOccupancy.getOrDefault(endpoint.name(), Occupancy.NONE);
      if (ours.batch() > 0) {
        int preemptions =
            BatchPlacement.itemsToPreempt(
                load(endpoint, others),
                isFirstToPreempt(endpoint, others),
                RendezvousHashing.fraction(endpoint.name(), instance));
        for (int index = 0; index < preemptions; index++) {
          preemptItem(endpoint.name());
        }
      }
    }
  }

  private void preemptItem(String endpoint) {
    if (batchSource.preempt(endpoint)) {
      addOccupancy(endpoint, WorkClass.BATCH, -1);
    }
  }

  /**
   * Returns whether this instance is the first to preempt items among those that have items at the
   * endpoint.
   */
  private boolean isFirstToPreempt(ServiceEndpoint endpoint, LoadTotals others) {
    String name = endpoint.name();
    String other = others.endpoints().getOrDefault(name, EndpointTotal.NONE).firstHolder();
    return RendezvousHashing.first(name, instance, other).equals(instance);
  }

  /**
   * Starts batch items unless live requests wait at any instance.
   *
   * @param reusesOwnSlot whether an item of this instance has just released a slot, which the other
   *     instances still count as taken
   */
  private void startItems(List<ServiceEndpoint> endpoints, boolean reusesOwnSlot) {
    LoadTotals others = fleetLoad.others(clock.nanos());
    if (waiting.size() + others.liveWaiting() > 0) {
      return;
    }
    Map<BatchQueue, Integer> ownReady = new HashMap<>(batchSource.ready());
    Map<BatchQueue, Double> fractions = new HashMap<>();
    for (BatchQueue queue : ownReady.keySet()) {
      BatchQueue onTime = BatchQueue.onTime(queue.service());
      int before = queue.late() ? readyOfAll(onTime, ownReady, others) : 0;
      List<EndpointLoad> loads = loads(queue.service(), Set.of());
      fractions.put(queue, BatchPlacement.startableFraction(loads, before));
    }
    for (ServiceEndpoint endpoint : limitedFirst(endpoints)) {
      BatchQueue onTime = BatchQueue.onTime(endpoint.service());
      BatchQueue queue =
          ownReady.getOrDefault(onTime, 0) > 0 ? onTime : BatchQueue.late(endpoint.service());
      double fraction = fractions.getOrDefault(queue, 0.0);
      if (acceptsWork(endpoint) && fraction > 0) {
        int allReady = readyOfAll(queue, ownReady, others);
        int started =
            startItemsAt(
                load(endpoint, others), fraction, ownReady.get(queue), allReady, reusesOwnSlot);
        ownReady.merge(queue, -started, Integer::sum);
      }
    }
  }

  private List<ServiceEndpoint> limitedFirst(List<ServiceEndpoint> endpoints) {
    List<ServiceEndpoint> ordered = new ArrayList<>(endpoints.size());
    List<ServiceEndpoint> unlimited = new ArrayList<>(endpoints.size());
    for (ServiceEndpoint endpoint : endpoints) {
      (restrictions.rate(endpoint).isPresent() ? ordered : unlimited).add(endpoint);
    }
    ordered.addAll(unlimited);
    return ordered;
  }

  private static int readyOfAll(
      BatchQueue queue, Map<BatchQueue, Integer> ownReady, LoadTotals others) {
    int reported = others.batchReady().getOrDefault(queue.reportName(), 0);
    return ownReady.getOrDefault(queue, 0) + Math.max(0, reported);
  }

  /** Starts items at an endpoint; returns their number. */
  private int startItemsAt(
      EndpointLoad load, double fraction, int ownReady, int allReady, boolean reusesOwnSlot) {
    int allowed =
        BatchPlacement.allowance(load, fraction, ownReady, allReady, random.getAsDouble());
    if (reusesOwnSlot && load.startable() > BatchPlacement.RESERVED_SLOTS) {
      allowed = Math.max(allowed, 1);
    }
    int started = 0;
    while (started < allowed && batchSource.startNext(load.endpoint())) {
      restrictions.sent(load.endpoint());
      addOccupancy(load.endpoint().name(), WorkClass.BATCH, 1);
      started++;
    }
    return started;
  }

  private void addOccupancy(String endpoint, WorkClass workClass, int change) {
    ownOccupancy.merge(
        endpoint,
        workClass == WorkClass.LIVE ? new Occupancy(change, 0) : new Occupancy(0, change),
        (before, delta) -> before.plus(delta.live(), delta.batch()));
    changeListener.run();
  }

  private EndpointLoad load(ServiceEndpoint endpoint, LoadTotals others) {
    Occupancy ours = ownOccupancy.getOrDefault(endpoint.name(), Occupancy.NONE);
    EndpointTotal theirs = others.endpoints().getOrDefault(endpoint.name(), EndpointTotal.NONE);
    return new EndpointLoad(
        endpoint,
        distances.computeIfAbsent(endpoint.domain(), this::distance),
        ours.live() + theirs.live(),
        ours.batch() + theirs.batch(),
        ours.batch(),
        unregisteredNames.contains(endpoint.name())
            || health.isSuspect(endpoint.name(), clock.nanos()),
        restrictions.allowance(endpoint));
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
