package org.sedgeroad.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.access.WorkspaceDirectory;
import org.sedgeroad.gateway.Refusal;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.presence.FleetLoad;
import org.sedgeroad.presence.LoadTotals;
import org.sedgeroad.presence.Occupancy;
import org.sedgeroad.presence.SpeedSample;

/**
 * Assigns slots at the endpoints to the live requests and batch items of this instance, taking into
 * account the slots that the other instances report as taken. Used on the event loop.
 */
public final class Dispatcher {
  /** Upper bound of the estimated time until a limited rate allows a request, in nanoseconds. */
  private static final double LONGEST_WAIT_NANOS = 3.6e12;

  /**
   * Time after which a client may retry whose request only other instances can send, in
   * milliseconds; they are available at once.
   */
  private static final long OTHER_SENDER_RETRY_MILLIS = 100;

  private final EndpointDirectory directory;
  private final ItemPlacement items;
  private final FleetLoad fleetLoad;
  private final MonotonicClock clock;
  private final DoubleSupplier random;
  private final WaitingRequests waiting = new WaitingRequests();
  private final Map<String, Integer> liveRunningByWorkspace = new HashMap<>();
  private final SlotSharing sharing;
  private LivePolicy livePolicy = LivePlacement::choose;
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
    this.directory = new EndpointDirectory(domain, regionOfDomain, fleetLoad, clock);
    this.items = new ItemPlacement(instance, directory, random);
    this.sharing = new SlotSharing(directory, waiting, clock, random);
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
    directory.setRestrictions(next);
  }

  /** Sets the choice of endpoints for live requests; {@link LivePlacement} until then. */
  void setLivePolicy(LivePolicy policy) {
    livePolicy = policy;
  }

  /** Sets the source of the batch items; {@link BatchSource#NONE} until then. */
  public void setBatchSource(BatchSource source) {
    items.setBatchSource(source);
  }

  /**
   * Sets the workspaces among which slots are shared; {@link WorkspaceDirectory#NONE} until then.
   *
   * @param workspaces returns the workspaces of the configuration in force, never null
   * @param ownRunning returns the number of live requests of this instance that endpoints have, by
   *     workspace, never null
   */
  public void setWorkspaces(
      Supplier<WorkspaceDirectory> workspaces, Supplier<Map<String, Integer>> ownRunning) {
    sharing.setWorkspaces(workspaces, ownRunning);
  }

  /**
   * Sets the task that runs when the work of this instance has changed. It should report the work
   * to the other instances soon, so that they do not count on its slots, and preempt their items
   * where live requests need slots.
   */
  public void setChangeListener(Runnable listener) {
    changeListener = listener;
    directory.setChangeListener(listener);
  }

  /** Returns the health of the endpoints, to which recent failures and successes are reported. */
  public EndpointHealth health() {
    return directory.health();
  }

  /** Returns the speeds of the endpoints, to which the times of runs are reported. */
  public EndpointSpeeds speeds() {
    return directory.speeds();
  }

  /** Returns the prompt parts that endpoints have cached, to which runs are reported. */
  public CachedPrompts prompts() {
    return directory.prompts();
  }

  /** Returns what this instance has observed of the speeds of endpoints, by incarnation. */
  public Map<String, SpeedSample> speedSamples() {
    return directory.speeds().reported();
  }

  /**
   * Replaces the known endpoints and places waiting requests.
   *
   * @param endpoints registered endpoints
   * @param unregistered endpoints without a registration, treated as suspect
   */
  public void setEndpoints(
      Collection<ServiceEndpoint> endpoints, Collection<ServiceEndpoint> unregistered) {
    directory.setEndpoints(endpoints, unregistered);
    placeWaiting(Map.of(), Optional.empty());
  }

  /**
   * Returns whether any endpoint of a service accepts new work.
   *
   * @param service name of the service
   * @param excluded names of endpoints that don't count
   */
  public boolean hasEndpoint(String service, Set<String> excluded) {
    return !directory.usable(service, excluded).isEmpty();
  }

  /**
   * Returns whether the endpoints of a service can start a batch item now.
   *
   * @param service name of the service
   */
  public ServiceState stateOf(String service) {
    return BatchPlacement.stateOf(directory.loads(service, Set.of()));
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
    for (ServiceEndpoint endpoint : directory.usable(service, excluded)) {
      OptionalDouble limit = directory.restrictions().rate(endpoint);
      if (limit.isEmpty() || directory.restrictions().allowance(endpoint) > 0) {
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
   * Returns the refusal of a live request that arrives now and can't be served in time, empty if it
   * may wait. The refusal states that the request has not run.
   */
  public Optional<Refusal> refusal(LiveDemand demand) {
    long now = clock.nanos();
    long rateWaitNanos = nanosUntilRateAllows(demand.service(), demand.excluded());
    if (rateWaitNanos < demand.deadlineNanos() - now) {
      return sharing.refusal(demand);
    }
    // Another instance may be a sender of these endpoints.
    long retryNanos =
        rateWaitNanos == Long.MAX_VALUE ? OTHER_SENDER_RETRY_MILLIS * 1_000_000L : rateWaitNanos;
    return Optional.of(
        new Refusal(
            Refusal.Reason.NOT_RUN,
            "all endpoints of " + demand.service() + " accept a limited rate only",
            now + retryNanos));
  }

  /**
   * Returns the live slots that a workspace uses and its fair share, empty if the configuration in
   * force has no such workspace.
   *
   * @param workspace name of the workspace, not null
   * @param priority priority of its requests if the workspace has none of its own
   */
  public Optional<FairShare> share(String workspace, int priority) {
    return sharing.share(workspace, priority);
  }

  /**
   * Returns how many live requests wait for a service, if those of the other instances are for the
   * same services as those of this one.
   */
  private double waitingEverywhere(String service) {
    long own = waiting.count(service);
    return own == 0 ? 0 : own + (double) own / waiting.size() * directory.others().liveWaiting();
  }

  /**
   * Places a live request now, or as soon as a slot is available.
   *
   * <p>A deferrable request waits for a round of {@link DeferredPlacement}, or for a slot that this
   * instance releases.
   */
  public void submit(LiveDemand demand) {
    if (demand.isDeferrable(clock.nanos()) || !placeArrived(demand)) {
      waiting.add(demand);
      changeListener.run();
    }
  }

  private boolean placeArrived(LiveDemand demand) {
    List<EndpointLoad> loads = directory.loads(demand);
    if (!sharing.isActive() || sharing.hasAmpleRoom(loads)) {
      return place(demand, loads, true);
    }
    SlotUse use = sharing.use();
    boolean exceeded = sharing.isExceeded(demand, use);
    return (!exceeded || sharing.hasFreeSlot(demand, use, loads))
        && place(demand, loads, !exceeded);
  }

  /** Removes a live request that has no slot yet; returns whether it was waiting. */
  public boolean cancel(LiveDemand demand) {
    return waiting.remove(demand);
  }

  /** Releases a slot at an endpoint and uses it for waiting work. */
  public void release(String endpoint, WorkClass workClass) {
    if (workClass == WorkClass.LIVE) {
      directory.find(endpoint).ifPresent(freed -> sharing.recordChange(freed, 1));
    }
    directory.addOccupancy(endpoint, workClass, -1);
    placeWaiting(Map.of(), Optional.of(endpoint));
    if (waiting.isEmpty()) {
      directory
          .find(endpoint)
          .ifPresent(freed -> items.startItems(List.of(freed), 0, workClass == WorkClass.BATCH));
    }
  }

  /**
   * Releases the slot of a live request and uses it for waiting work.
   *
   * @param endpoint name of the endpoint
   * @param workspace the workspace that was named in the demand for the slot, empty without one
   */
  public void releaseLive(String endpoint, String workspace) {
    liveRunningByWorkspace.computeIfPresent(
        workspace, (name, count) -> count > 1 ? count - 1 : null);
    release(endpoint, WorkClass.LIVE);
  }

  /**
   * Places waiting live requests, then preempts and starts batch items. To be called after a report
   * of another instance was received, or after this instance got new items.
   */
  public void refresh() {
    placeWaiting(Map.of(), Optional.empty());
    items.preemptItems(clock.nanos());
    items.startItems(directory.all(), waiting.size(), false);
  }

  /**
   * Does the same as {@link #refresh}, and begins a round of deferrable requests if one is due. To
   * be called before each report to the other instances.
   *
   * @param peersExpected number of other instances, whether or not they have reported
   */
  public void tick(int peersExpected) {
    directory.update(peersExpected);
    items.observeDemand(clock.nanos());
    placeWaiting(deferredShares(peersExpected), Optional.empty());
    items.preemptItems(clock.nanos());
    items.startItems(directory.all(), waiting.size(), false);
  }

  /** Returns the number of live requests that wait for a slot. */
  public int liveWaiting() {
    return waiting.size();
  }

  /** Returns the numbers of waiting live requests by workspace, without requests that have none. */
  public Map<String, Integer> liveWaitingByWorkspace() {
    return waiting.byWorkspace();
  }

  /**
   * Returns the numbers of live requests that endpoints have now by workspace, without requests
   * that have none.
   */
  public Map<String, Integer> liveRunningByWorkspace() {
    return Map.copyOf(liveRunningByWorkspace);
  }

  /** Returns the work of this instance by endpoint name, without endpoints that have none. */
  public Map<String, Occupancy> occupancy() {
    return directory.occupancy();
  }

  /**
   * Returns the number of requests that this instance has sent lately to endpoints with a limited
   * rate, by the names of their incarnations.
   */
  public Map<String, Integer> sentToLimited() {
    return directory.restrictions().sentToLimited();
  }

  /**
   * Returns the load of each endpoint of a service that accepts new work.
   *
   * @param service name of the service
   * @param excluded names of endpoints to leave out
   */
  public List<EndpointLoad> loads(String service, Set<String> excluded) {
    return directory.loads(service, excluded);
  }

  private boolean place(LiveDemand demand, List<EndpointLoad> loads, boolean mayQueue) {
    Optional<LiveChoice> choice =
        livePolicy.choose(
            loads,
            !mayQueue || demand.isDeferrable(clock.nanos()),
            directory.speeds().runTimes(demand.service()),
            random);
    choice.ifPresent(
        chosen -> {
          if (chosen.preemptBatch()) {
            items.preemptItem(chosen.endpoint().name());
          }
          directory.restrictions().sent(chosen.endpoint());
          sharing.recordChange(chosen.endpoint(), 0);
          directory.addOccupancy(chosen.endpoint().name(), WorkClass.LIVE, 1);
          if (!demand.workspace().isEmpty()) {
            liveRunningByWorkspace.merge(demand.workspace(), 1, Integer::sum);
          }
          demand.place(chosen.endpoint());
        });
    return choice.isPresent();
  }

  /**
   * Returns which waiting requests are placed in rounds of {@link DeferredPlacement}: deferrable
   * ones, and those of workspaces that use far more than their fair share.
   */
  private Predicate<LiveDemand> inRounds(long now, SlotUse use) {
    boolean shared = sharing.isActive();
    return demand -> demand.isDeferrable(now) || (shared && sharing.isExceeded(demand, use));
  }

  /**
   * Begins a round of deferrable requests if one is due, and returns how many of them this instance
   * may place, by service.
   */
  private Map<String, Integer> deferredShares(int peersExpected) {
    long now = clock.nanos();
    Map<String, Integer> deferred =
        waiting.count(inRounds(now, sharing.isActive() ? sharing.use() : SlotUse.none()));
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
        (service, count) -> {
          List<EndpointLoad> loads = loads(service, Set.of());
          int share =
              DeferredPlacement.share(
                  loads, count, others.liveWaiting(), notReporting, random.getAsDouble());
          shares.put(service, sharing.isActive() ? sharing.limitRound(share, loads) : share);
        });
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
    boolean shared = sharing.isActive();
    SlotUse use = shared ? sharing.use() : SlotUse.none();
    FairOrder order =
        new FairOrder(
            waiting.inOrder(now), shared ? LiveDemand::workspace : demand -> "", use::relativeUse);
    Predicate<LiveDemand> deferred = inRounds(now, use);
    Map<String, Integer> shares = new HashMap<>(deferredShares);
    Set<String> fullServices = new HashSet<>();
    Optional<ServiceEndpoint> freedEndpoint = freed.flatMap(directory::find);
    for (Optional<LiveDemand> next = order.next(); next.isPresent(); next = order.next()) {
      LiveDemand demand = next.get();
      String service = demand.service();
      if (!deferred.test(demand)) {
        // A request with excluded endpoints may fail where another of its service succeeds, so
        // only a request without exclusions shows that the service is full.
        if (!fullServices.contains(service)
            && !placeWaiting(demand, directory.loads(demand), true, use)
            && demand.excluded().isEmpty()) {
          fullServices.add(service);
        }
      } else if (shares.getOrDefault(service, 0) > 0) {
        boolean placed = placeWaiting(demand, directory.loads(demand), false, use);
        shares.put(service, placed ? shares.get(service) - 1 : 0);
      } else if (freedEndpoint.isPresent() && service.equals(freedEndpoint.get().service())) {
        boolean mayTake = !shared || sharing.hasFreeSlot(loads(service, demand.excluded()));
        boolean placed =
            mayTake
                && placeWaiting(demand, loadsAt(demand, freedEndpoint.get().name()), false, use);
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
  private boolean placeWaiting(
      LiveDemand demand, List<EndpointLoad> loads, boolean mayQueue, SlotUse use) {
    // Placing one request may end another, which is then no longer waiting.
    if (!waiting.remove(demand)) {
      return true;
    }
    boolean placed = place(demand, loads, mayQueue);
    if (placed) {
      use.assigned(demand.workspace());
    } else {
      waiting.add(demand);
    }
    return placed;
  }

  private List<EndpointLoad> loadsAt(LiveDemand demand, String endpoint) {
    return directory.loads(demand).stream()
        .filter(load -> load.endpoint().name().equals(endpoint))
        .toList();
  }
}
