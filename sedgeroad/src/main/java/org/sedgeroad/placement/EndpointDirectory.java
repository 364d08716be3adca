package org.sedgeroad.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.gateway.PromptPrefix;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.presence.EndpointTotal;
import org.sedgeroad.presence.FleetLoad;
import org.sedgeroad.presence.LoadTotals;
import org.sedgeroad.presence.Occupancy;

/**
 * The known endpoints with their health, restrictions and load: the work of this instance and what
 * the other instances report. Used on the event loop.
 */
final class EndpointDirectory {
  private final String domain;
  private final UnaryOperator<String> regionOfDomain;
  private final FleetLoad fleetLoad;
  private final MonotonicClock clock;
  private final EndpointHealth health = new EndpointHealth();
  private final EndpointSpeeds speeds;
  private final CachedPrompts prompts;
  private final Map<String, Occupancy> ownOccupancy = new HashMap<>();

  /** Distances of failure domains, computed again at each tick because settings may be reloaded. */
  private final Map<String, EndpointLoad.Distance> distances = new HashMap<>();

  private Map<String, ServiceEndpoint> endpointsByName = new LinkedHashMap<>();
  private Set<String> unregisteredNames = Set.of();
  private EndpointRestrictions restrictions = EndpointRestrictions.NONE;
  private Runnable changeListener = () -> {};

  /**
   * Creates a directory without endpoints.
   *
   * @param domain failure domain of this instance
   * @param regionOfDomain returns the region of a failure domain
   * @param fleetLoad load of the other instances
   * @param clock source of monotonic time
   */
  EndpointDirectory(
      String domain,
      UnaryOperator<String> regionOfDomain,
      FleetLoad fleetLoad,
      MonotonicClock clock) {
    this.domain = domain;
    this.regionOfDomain = regionOfDomain;
    this.fleetLoad = fleetLoad;
    this.clock = clock;
    this.speeds = new EndpointSpeeds(clock);
    this.prompts = new CachedPrompts(clock, speeds);
    health.setFailureListener(prompts::forget);
  }

  void setRestrictions(EndpointRestrictions next) {
    restrictions = next;
  }

  EndpointRestrictions restrictions() {
    return restrictions;
  }

  /** Sets the task that runs when the work of this instance has changed. */
  void setChangeListener(Runnable listener) {
    changeListener = listener;
  }

  EndpointHealth health() {
    return health;
  }

  EndpointSpeeds speeds() {
    return speeds;
  }

  CachedPrompts prompts() {
    return prompts;
  }

  /** Replaces the known endpoints; those without a registration are treated as suspect. */
  void setEndpoints(
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
    speeds.retain(endpointsByName.values());
    prompts.retain(endpointsByName.values());
  }

  /** Returns all known endpoints; a copy, because work that is placed may change the directory. */
  List<ServiceEndpoint> all() {
    return List.copyOf(endpointsByName.values());
  }

  /** Returns an endpoint by its name, empty if it is not known. */
  Optional<ServiceEndpoint> find(String name) {
    return Optional.ofNullable(endpointsByName.get(name));
  }

  /** Returns the endpoints of a service that accept new work, without the excluded names. */
  List<ServiceEndpoint> usable(String service, Set<String> excluded) {
    return endpointsByName.values().stream()
        .filter(
            endpoint ->
                endpoint.service().equals(service)
                    && acceptsWork(endpoint)
                    && !excluded.contains(endpoint.name()))
        .toList();
  }

  boolean acceptsWork(ServiceEndpoint endpoint) {
    return !endpoint.draining() && !restrictions.isLeaving(endpoint);
  }

  /** Returns the sums of the loads of the other instances. */
  LoadTotals others() {
    return fleetLoad.others(clock.nanos());
  }

  /** Returns the load of each endpoint of a service that accepts new work. */
  List<EndpointLoad> loads(String service, Set<String> excluded) {
    LoadTotals others = others();
    List<EndpointLoad> loads = new ArrayList<>();
    for (ServiceEndpoint endpoint : usable(service, excluded)) {
      loads.add(load(endpoint, others));
    }
    return loads;
  }

  /**
   * Returns the load of each endpoint that a request may use, with what cached prompt parts save it
   * there.
   */
  List<EndpointLoad> loads(LiveDemand demand) {
    return withSavings(loads(demand.service(), demand.excluded()), demand.prompt());
  }

  /** Returns the loads with what cached prompt parts save a request or item. */
  List<EndpointLoad> withSavings(List<EndpointLoad> loads, PromptPrefix prompt) {
    return prompts.withSavings(loads, prompt, name -> own(name).live());
  }

  /** Returns the load of one endpoint. */
  EndpointLoad load(ServiceEndpoint endpoint, LoadTotals others) {
    Occupancy ours = own(endpoint.name());
    EndpointTotal theirs = others.endpoints().getOrDefault(endpoint.name(), EndpointTotal.NONE);
    return new EndpointLoad(
        endpoint,
        distances.computeIfAbsent(endpoint.domain(), this::distance),
        ours.live() + theirs.live(),
        ours.batch() + theirs.batch(),
        ours.batch(),
        unregisteredNames.contains(endpoint.name())
            || health.isSuspect(endpoint.name(), clock.nanos()),
        restrictions.allowance(endpoint),
        speeds.factor(endpoint.name()));
  }

  private EndpointLoad.Distance distance(String other) {
    if (other.equals(domain)) {
      return EndpointLoad.Distance.SAME_DOMAIN;
    }
    return regionOfDomain.apply(other).equals(regionOfDomain.apply(domain))
        ? EndpointLoad.Distance.SAME_REGION
        : EndpointLoad.Distance.OTHER_REGION;
  }

  /** Takes changes of the settings and of the other instances into account, at each tick. */
  void update(int peersExpected) {
    distances.clear();
    restrictions.update(peersExpected);
    speeds.update(endpointsByName.values(), others().details().speeds());
  }

  /** Returns the work of this instance at an endpoint. */
  Occupancy own(String endpoint) {
    return ownOccupancy.getOrDefault(endpoint, Occupancy.NONE);
  }

  /** Returns the work of this instance by endpoint name, without endpoints that have none. */
  Map<String, Occupancy> occupancy() {
    Map<String, Occupancy> current = new HashMap<>(ownOccupancy);
    current.values().removeIf(Occupancy::isEmpty);
    return current;
  }

  /** Adds to the number of requests or items of this instance at an endpoint. */
  void addOccupancy(String endpoint, WorkClass workClass, int change) {
    ownOccupancy.merge(
        endpoint,
        workClass == WorkClass.LIVE ? new Occupancy(change, 0) : new Occupancy(0, change),
        (before, delta) -> before.plus(delta.live(), delta.batch()));
    changeListener.run();
  }
}
