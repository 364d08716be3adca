package org.sedgeroad.route;

import java.net.URI;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.sedgeroad.Endpoint;
import org.sedgeroad.EndpointState;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.ServiceClass;

/**
 * Table of the endpoints in the instance list, with this instance's counts of the work in flight
 * and the live counts reported by other instances.
 *
 * <p>Thread-safe. Its lock is acquired after that of {@link
 * org.sedgeroad.configuration.ConfigurationReplica} where both are needed, and is never held during
 * I/O.
 */
public final class EndpointTable {
  /** Time after which an endpoint is used again after a failed connection. */
  private static final long EJECTION_MILLIS = 1_000;

  /**
   * Time after which a draining endpoint is used again if the instance list still shows it as live.
   * The list lags by some seconds; an endpoint that is still draining refuses the work again
   * without running it.
   */
  private static final long MAX_DRAINING_MILLIS = 30_000;

  /** Generation of a placement that is not counted at any endpoint. */
  private static final long NO_GENERATION = 0;

  /** Minimum interval between speed comparisons, since each one examines all endpoints. */
  private static final long COMPARISON_INTERVAL_NANOS = 200_000_000L;

  private static final int DEFAULT_SLOTS = 8;

  private final ReentrantLock lock = new ReentrantLock();
  private final Map<String, EndpointRecord> records = new LinkedHashMap<>();
  private final Map<String, Integer> slotsByService = new HashMap<>();
  private final RequestCosts costs = new RequestCosts();
  private final Set<String> drainedByOperator = new HashSet<>();
  private final PeerLiveCounts peerLiveCounts = new PeerLiveCounts();
  private volatile EndpointStateListener listener = EndpointStateListener.NONE;
  private final String region;
  private final MonotonicClock clock;
  private long lastGeneration;
  private boolean speedsCompared;
  private long nextComparisonNanos;

  private EndpointTable(String region, MonotonicClock clock) {
    this.region = region;
    this.clock = clock;
  }

  /** Returns an empty table for an instance in the given region. */
  public static EndpointTable of(String region, MonotonicClock clock) {
    return new EndpointTable(region, clock);
  }

  /**
   * Replaces the endpoints by the contents of the instance list. An endpoint that keeps its name
   * and address keeps its counts.
   */
  public void replace(List<Endpoint> endpoints) {
    lock.lock();
    try {
      Map<String, EndpointRecord> previous = new HashMap<>(records);
      records.clear();
      for (Endpoint endpoint : endpoints) {
        EndpointRecord existing = previous.get(endpoint.name());
        boolean same = existing != null && existing.endpoint.address().equals(endpoint.address());
        EndpointRecord updated = same ? existing : new EndpointRecord(++lastGeneration, endpoint);
        clearExpiredDraining(updated, endpoint);
        updated.endpoint = endpoint;
        records.put(endpoint.name(), updated);
      }
    } finally {
      lock.unlock();
    }
  }

  /** Sets the number of slots of each endpoint of a service. */
  public void setSlots(String service, int count) {
    lock.lock();
    try {
      slotsByService.put(service, count);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Marks an endpoint as unusable because it announced that it is draining, and notifies the
   * listener. Has no effect on an unknown endpoint.
   */
  public void markDraining(String name) {
    updateAndNotify(
        name, endpoint -> true, this::startDraining, endpoint -> listener.draining(endpoint));
  }

  /**
   * Marks an endpoint as unusable because it announced that it is draining, and notifies the
   * listener. Has no effect if the endpoint's address is not the given one, that is if it has been
   * replaced since.
   */
  public void markDraining(String name, URI address) {
    updateAndNotify(
        name, isAt(address), this::startDraining, endpoint -> listener.draining(endpoint));
  }

  /**
   * Marks an endpoint as unusable because another instance reports that it is draining. Has no
   * effect if the endpoint's address is not the given one.
   */
  public void markDrainingByPeer(String name, URI address) {
    // The listener is not notified: otherwise each instance would report the same endpoint to all
    // others.
    updateAndNotify(name, isAt(address), this::startDraining, endpoint -> {});
  }

  /** Sets whether an operator has drained an endpoint. A drained endpoint is not usable. */
  public void setDrained(String name, boolean value) {
    lock.lock();
    try {
      if (value) {
        drainedByOperator.add(name);
      } else {
        drainedByOperator.remove(name);
      }
    } finally {
      lock.unlock();
    }
  }

  /**
   * Marks an endpoint as unusable for one second because a connection to it failed, and notifies
   * the listener. Has no effect on an unknown endpoint.
   */
  public void markFailed(String name) {
    updateAndNotify(name, endpoint -> true, this::eject, endpoint -> listener.failed(endpoint));
  }

  /**
   * Marks an endpoint as unusable for one second because a connection to it failed, and notifies
   * the listener. Has no effect if the endpoint's address is not the given one, that is if it has
   * been replaced since.
   */
  public void markFailed(String name, URI address) {
    updateAndNotify(name, isAt(address), this::eject, endpoint -> listener.failed(endpoint));
  }

  /**
   * Sets the listener that is notified when this instance observes that an endpoint became
   * unusable.
   */
  public void setListener(EndpointStateListener replacement) {
    listener = replacement;
  }

  /**
   * Sets the number of live requests that another instance has in flight at an endpoint.
   *
   * @param sender name of the other instance
   * @param sequence sequence number that increases with each report of the sender, also across its
   *     restarts
   * @param name name of the endpoint
   * @param count number of live requests in flight
   * @return false if the report was ignored because one with the same or a higher sequence number
   *     was received before
   */
  public boolean setPeerLive(String sender, long sequence, String name, int count) {
    lock.lock();
    try {
      return peerLiveCounts.report(sender, sequence, name, count, clock.nanos());
    } finally {
      lock.unlock();
    }
  }

  /**
   * Sets the numbers of live requests that another instance has in flight, by endpoint name.
   * Endpoints without an entry count as 0.
   */
  public void setPeerLive(String sender, Map<String, Integer> counts) {
    lock.lock();
    try {
      peerLiveCounts.reportAll(sender, counts, clock.nanos());
    } finally {
      lock.unlock();
    }
  }

  /**
   * Removes the reports of instances that are no longer live.
   *
   * @param liveInstances live instances of this failure domain
   * @param foreignInstances instances of other failure domains, whose reports expire by age
   */
  public void retainPeers(Collection<String> liveInstances, Collection<String> foreignInstances) {
    lock.lock();
    try {
      peerLiveCounts.retain(liveInstances, foreignInstances, records.keySet(), clock.nanos());
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns the numbers of live requests that this instance has in flight, by endpoint name.
   * Endpoints without such requests are left out.
   */
  public Map<String, Integer> ownLiveCounts() {
    lock.lock();
    try {
      Map<String, Integer> counts = new HashMap<>();
      records.forEach((name, endpoint) -> counts.put(name, endpoint.live));
      counts.values().removeIf(count -> count == 0);
      return counts;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns the number of live requests that this instance has in flight at an endpoint, 0 if the
   * endpoint is unknown.
   */
  public int ownLive(String name) {
    lock.lock();
    try {
      EndpointRecord endpoint = records.get(name);
      return endpoint == null ? 0 : endpoint.live;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns the usable endpoints of the request's service, without those that the request excludes,
   * in the order of the instance list.
   */
  public List<EndpointView> candidates(RequestShape request) {
    lock.lock();
    try {
      long now = clock.nanos();
      compareSpeeds(now);
      List<EndpointView> views = new ArrayList<>();
      for (EndpointRecord endpoint : records.values()) {
        boolean serves = endpoint.endpoint.service().equals(request.service());
        if (serves
            && isUsable(endpoint)
            && !request.excluded().contains(endpoint.endpoint.name())) {
          views.add(view(endpoint, now));
        }
      }
      return views;
    } finally {
      lock.unlock();
    }
  }

  /** Returns the usable endpoints of all services. */
  public List<EndpointView> usableEndpoints() {
    lock.lock();
    try {
      long now = clock.nanos();
      return records.values().stream()
          .filter(this::isUsable)
          .map(endpoint -> view(endpoint, now))
          .toList();
    } finally {
      lock.unlock();
    }
  }

  /** Returns all endpoints in the instance list, usable or not. */
  public List<Endpoint> endpoints() {
    lock.lock();
    try {
      return records.values().stream().map(endpoint -> endpoint.endpoint).toList();
    } finally {
      lock.unlock();
    }
  }

  /** Returns the endpoint with a name, empty if it is not in the instance list. */
  public Optional<Endpoint> find(String name) {
    lock.lock();
    try {
      return Optional.ofNullable(records.get(name)).map(endpoint -> endpoint.endpoint);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Counts a request as in flight at an endpoint that was chosen from a view of this table. If the
   * endpoint has been removed or replaced since, the placement still has its address but is not
   * counted.
   */
  public Placement begin(Endpoint endpoint, RequestShape request) {
    boolean live = request.serviceClass() == ServiceClass.LIVE;
    boolean isLong = live && costs.isLong(request);
    if (live) {
      costs.add(request);
    }
    lock.lock();
    try {
      EndpointRecord target = records.get(endpoint.name());
      boolean known = target != null && target.endpoint.address().equals(endpoint.address());
      Placement placement =
          new Placement(
              endpoint.name(),
              endpoint.address(),
              known ? target.generation : NO_GENERATION,
              request,
              isLong,
              clock.nanos());
      updateCounts(placement, 1);
      return placement;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Counts the request of an ended placement as in flight at the same endpoint again, and returns
   * the new placement.
   */
  public Placement beginAgain(Placement ended) {
    lock.lock();
    try {
      updateCounts(ended, 1);
      return new Placement(
          ended.endpoint(),
          ended.address(),
          ended.generation(),
          ended.request(),
          ended.isLong(),
          clock.nanos());
    } finally {
      lock.unlock();
    }
  }

  /**
   * Removes a placement from the counts. Has no effect if its endpoint has been removed or
   * replaced.
   */
  public void end(Placement placement) {
    lock.lock();
    try {
      updateCounts(placement, -1);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Records the time to the first event of an answer, or the time that has passed without one, in
   * nanoseconds.
   */
  public void observeFirstEvent(Placement placement, long elapsedNanos) {
    lock.lock();
    try {
      EndpointRecord endpoint = records.get(placement.endpoint());
      if (endpoint != null && endpoint.generation == placement.generation()) {
        endpoint.speed.recordFirstEvent(
            placement.request().promptTokens(), elapsedNanos, clock.nanos());
      }
    } finally {
      lock.unlock();
    }
  }

  /**
   * Records a further event of an answer.
   *
   * @param gapNanos time since the previous event in nanoseconds
   * @param events number of events received so far, which approximates the output tokens
   * @return the placement, or a copy that counts as a long request if the request has become long
   *     with this event
   */
  public Placement observeGap(Placement placement, long gapNanos, int events) {
    RequestShape request = placement.request();
    boolean becomesLong =
        !placement.isLong()
            && costs.isLong(request.service(), (long) request.promptTokens() + events);
    lock.lock();
    try {
      EndpointRecord endpoint = records.get(placement.endpoint());
      if (endpoint != null && endpoint.generation == placement.generation()) {
        endpoint.speed.recordGap(gapNanos, clock.nanos());
        endpoint.longLive += becomesLong ? 1 : 0;
      }
    } finally {
      lock.unlock();
    }
    return becomesLong ? placement.asLongRequest() : placement;
  }

  /** Returns the typical costs of the live requests placed so far. */
  public RequestCosts costs() {
    return costs;
  }

  private void updateCounts(Placement placement, int sign) {
    EndpointRecord endpoint = records.get(placement.endpoint());
    if (endpoint != null && endpoint.generation == placement.generation()) {
      endpoint.updateCounts(placement.request(), sign);
      endpoint.longLive += placement.isLong() ? sign : 0;
      if (sign > 0) {
        endpoint.speed.recordPlacement(clock.nanos());
      }
    }
  }

  /** Compares the speeds of the endpoints of each service, unless this was done recently. */
  private void compareSpeeds(long now) {
    if (speedsCompared && now - nextComparisonNanos < 0) {
      return;
    }
    speedsCompared = true;
    nextComparisonNanos = now + COMPARISON_INTERVAL_NANOS;
    records.values().stream()
        .collect(
            Collectors.groupingBy(
                endpoint -> endpoint.endpoint.service(),
                Collectors.mapping(endpoint -> endpoint.speed, Collectors.toList())))
        .values()
        .forEach(speeds -> SpeedComparison.update(speeds, now));
  }

  /** Marks an endpoint as draining; returns whether it was not draining before. */
  private boolean startDraining(EndpointRecord endpoint) {
    boolean changed = !endpoint.draining;
    endpoint.draining = true;
    endpoint.drainingSinceNanos = clock.nanos();
    return changed;
  }

  /** Ejects an endpoint temporarily; returns whether it was not ejected before. */
  private boolean eject(EndpointRecord endpoint) {
    boolean changed = !endpoint.ejected || clock.hasPassed(endpoint.ejectedUntilNanos);
    endpoint.ejected = true;
    endpoint.ejectedUntilNanos = clock.deadlineAfterMillis(EJECTION_MILLIS);
    return changed;
  }

  private void clearExpiredDraining(EndpointRecord known, Endpoint listed) {
    boolean live = listed.state() == EndpointState.LIVE;
    boolean returned = live && known.endpoint.state() == EndpointState.LEAVING;
    long age = clock.nanos() - known.drainingSinceNanos;
    if (returned || (live && age >= MAX_DRAINING_MILLIS * 1_000_000L)) {
      known.draining = false;
    }
  }

  private boolean isUsable(EndpointRecord endpoint) {
    return endpoint.endpoint.state() == EndpointState.LIVE
        && !endpoint.draining
        && !drainedByOperator.contains(endpoint.endpoint.name())
        && (!endpoint.ejected || clock.hasPassed(endpoint.ejectedUntilNanos));
  }

  private EndpointView view(EndpointRecord endpoint, long now) {
    return new EndpointView(
        endpoint.endpoint,
        slotsByService.getOrDefault(endpoint.endpoint.service(), DEFAULT_SLOTS),
        endpoint.live,
        peerLiveCounts.sum(endpoint.endpoint.name()),
        endpoint.batch,
        endpoint.cost,
        endpoint.longLive,
        endpoint.speed.slowness(now),
        endpoint.endpoint.region().equals(region));
  }

  private static Predicate<EndpointRecord> isAt(URI address) {
    return endpoint -> endpoint.endpoint.address().equals(address);
  }

  /**
   * Applies a change to an endpoint that meets the condition. If the change returns true, passes
   * the endpoint to the notification after the lock has been released.
   */
  private void updateAndNotify(
      String name,
      Predicate<EndpointRecord> condition,
      Predicate<EndpointRecord> change,
      Consumer<Endpoint> notification) {
    Endpoint changed = null;
    lock.lock();
    try {
      EndpointRecord endpoint = records.get(name);
      if (endpoint != null && condition.test(endpoint) && change.test(endpoint)) {
        changed = endpoint.endpoint;
      }
    } finally {
      lock.unlock();
    }
    if (changed != null) {
      notification.accept(changed);
    }
  }
}
