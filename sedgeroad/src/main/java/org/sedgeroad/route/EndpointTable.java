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
 * All endpoints that this instance knows, with its own counts of the work in flight.
 *
 * <p>Thread-safe; its lock comes after that of {@link
 * org.sedgeroad.configuration.ConfigurationReplica} and is never held during I/O.
 */
public final class EndpointTable {
  /** An endpoint that refused a connection is tried again after this time. */
  private static final long EJECTION_MILLIS = 1_000;

  /**
   * An endpoint that said that it is draining, but that the instance list still shows live after
   * this time, is used again. The list lags by some seconds; an endpoint that is still draining
   * refuses again without running the work.
   */
  private static final long DRAINING_MILLIS = 30_000;

  /** Generation of a placement that is not counted. */
  private static final long NO_GENERATION = 0;

  /** Speeds are compared at most once in this time, because all endpoints are looked at. */
  private static final long COMPARISON_NANOS = 200_000_000L;

  private static final int DEFAULT_SLOTS = 8;

  private final ReentrantLock lock = new ReentrantLock();
  private final Map<String, EndpointRecord> records = new LinkedHashMap<>();
  private final Map<String, Integer> slots = new HashMap<>();
  private final RequestCosts costs = new RequestCosts();
  private final Set<String> drained = new HashSet<>();
  private final PeerLiveCounts peers = new PeerLiveCounts();
  private volatile EndpointListener listener = EndpointListener.NONE;
  private final String region;
  private final MonotonicClock clock;
  private long generations;
  private boolean compared;
  private long nextComparisonNanos;

  private EndpointTable(String region, MonotonicClock clock) {
    this.region = region;
    this.clock = clock;
  }

  /** Returns an empty table for an instance in the given region. */
  public static EndpointTable of(String region, MonotonicClock clock) {
    return new EndpointTable(region, clock);
  }

  // -----------------------------------------------------------------------

  /** Replaces the endpoints by a reading of the instance list; counts of known ones are kept. */
  public void replace(List<Endpoint> endpoints) {
    lock.lock();
    try {
      Map<String, EndpointRecord> kept = new HashMap<>(records);
      records.clear();
      for (Endpoint endpoint : endpoints) {
        EndpointRecord known = kept.get(endpoint.name());
        boolean same = known != null && known.endpoint.address().equals(endpoint.address());
        EndpointRecord updated = same ? known : new EndpointRecord(++generations, endpoint);
        clearDraining(updated, endpoint);
        updated.endpoint = endpoint;
        records.put(endpoint.name(), updated);
      }
    } finally {
      lock.unlock();
    }
  }

  /** Sets the slots of each endpoint of a service. */
  public void setSlots(String service, int count) {
    lock.lock();
    try {
      slots.put(service, count);
    } finally {
      lock.unlock();
    }
  }

  /** Takes an endpoint out of use because it said that it is leaving. */
  public void markDraining(String name) {
    observe(name, endpoint -> true, this::drain, endpoint -> listener.draining(endpoint));
  }

  /** Takes an endpoint out of use because it said so; no effect if it was replaced since. */
  public void markDraining(String name, URI address) {
    observe(name, isAt(address), this::drain, endpoint -> listener.draining(endpoint));
  }

  /** Takes an endpoint out of use because another instance says that it is leaving. */
  public void markDrainingByPeer(String name, URI address) {
    // The listener is not told: each instance would tell all others of the same endpoint.
    observe(name, isAt(address), this::drain, endpoint -> {});
  }

  /** Takes an endpoint out of use, or back into use, because an operator says so. */
  public void setDrained(String name, boolean value) {
    lock.lock();
    try {
      if (value) {
        drained.add(name);
      } else {
        drained.remove(name);
      }
    } finally {
      lock.unlock();
    }
  }

  /** Takes an endpoint out of use for a moment because a connection failed. */
  public void markFailed(String name) {
    observe(name, endpoint -> true, this::eject, endpoint -> listener.failed(endpoint));
  }

  /** Takes an endpoint out of use for a moment; no effect if it was replaced since. */
  public void markFailed(String name, URI address) {
    observe(name, isAt(address), this::eject, endpoint -> listener.failed(endpoint));
  }

  /** Sets who learns of endpoints that this instance sees go out of use. */
  public void setListener(EndpointListener replacement) {
    listener = replacement;
  }

  /**
   * Sets the live requests that another instance has in flight at an endpoint.
   *
   * @param sender name of the other instance
   * @param sequence increases with each report of the sender, also over its restarts
   * @param name name of the endpoint
   * @param count live requests in flight
   * @return false if a later report of the sender came before
   */
  public boolean setPeerLive(String sender, long sequence, String name, int count) {
    lock.lock();
    try {
      return peers.report(sender, sequence, name, count, clock.nanos());
    } finally {
      lock.unlock();
    }
  }

  /** Sets the live requests that another instance has in flight, by endpoint. */
  public void setPeerLive(String sender, Map<String, Integer> counts) {
    lock.lock();
    try {
      peers.reportAll(sender, counts, clock.nanos());
    } finally {
      lock.unlock();
    }
  }

  /**
   * Drops what instances reported that are no longer live.
   *
   * @param liveInstances live instances of this failure domain
   * @param foreignInstances instances of other failure domains, whose reports lapse by age
   */
  public void retainPeers(Collection<String> liveInstances, Collection<String> foreignInstances) {
    lock.lock();
    try {
      peers.retain(liveInstances, foreignInstances, records.keySet(), clock.nanos());
    } finally {
      lock.unlock();
    }
  }

  /** Returns the live requests that this instance has in flight, by endpoint, without zeros. */
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

  /** Returns the live requests that this instance has in flight at an endpoint. */
  public int ownLive(String name) {
    lock.lock();
    try {
      EndpointRecord endpoint = records.get(name);
      return endpoint == null ? 0 : endpoint.live;
    } finally {
      lock.unlock();
    }
  }

  // -----------------------------------------------------------------------

  /** Returns the endpoints that may get new work of a service, in name order. */
  public List<EndpointView> candidates(RequestShape request) {
    lock.lock();
    try {
      long now = clock.nanos();
      compareSpeeds(now);
      List<EndpointView> views = new ArrayList<>();
      for (EndpointRecord endpoint : records.values()) {
        boolean serves = endpoint.endpoint.service().equals(request.service());
        if (serves && usable(endpoint) && !request.excluded().contains(endpoint.endpoint.name())) {
          views.add(view(endpoint, now));
        }
      }
      return views;
    } finally {
      lock.unlock();
    }
  }

  /** Returns all endpoints that may get new work, of all services. */
  public List<EndpointView> usableEndpoints() {
    lock.lock();
    try {
      long now = clock.nanos();
      return records.values().stream()
          .filter(this::usable)
          .map(endpoint -> view(endpoint, now))
          .toList();
    } finally {
      lock.unlock();
    }
  }

  /** Returns every endpoint of the instance list. */
  public List<Endpoint> endpoints() {
    lock.lock();
    try {
      return records.values().stream().map(endpoint -> endpoint.endpoint).toList();
    } finally {
      lock.unlock();
    }
  }

  /** Returns one endpoint, empty if it is not in the instance list. */
  public Optional<Endpoint> find(String name) {
    lock.lock();
    try {
      return Optional.ofNullable(records.get(name)).map(endpoint -> endpoint.endpoint);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Counts a request as placed at an endpoint that was chosen from a view of this table. An
   * endpoint that has gone since keeps its address in the placement, and is not counted.
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
      count(placement, 1);
      return placement;
    } finally {
      lock.unlock();
    }
  }

  /** Counts the request of an ended placement once more at the same endpoint. */
  public Placement beginAgain(Placement ended) {
    lock.lock();
    try {
      count(ended, 1);
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

  /** Ends a placement; no effect on an endpoint that replaced the one of the placement. */
  public void end(Placement placement) {
    lock.lock();
    try {
      count(placement, -1);
    } finally {
      lock.unlock();
    }
  }

  // -----------------------------------------------------------------------

  /** Notes the first event of an answer, or that it has not come after some time. */
  public void observeFirstEvent(Placement placement, long elapsedNanos) {
    lock.lock();
    try {
      EndpointRecord endpoint = records.get(placement.endpoint());
      if (endpoint != null && endpoint.generation == placement.generation()) {
        endpoint.speed.firstEvent(placement.request().promptTokens(), elapsedNanos, clock.nanos());
      }
    } finally {
      lock.unlock();
    }
  }

  /**
   * Notes a further event of an answer.
   *
   * @param gapNanos time since the event before
   * @param events events received so far, about the output tokens
   * @return the placement, which counts as long if the request has become long
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
        endpoint.speed.gap(gapNanos, clock.nanos());
        endpoint.longLive += becomesLong ? 1 : 0;
      }
    } finally {
      lock.unlock();
    }
    return becomesLong ? placement.toLong() : placement;
  }

  /** Returns the usual costs of the requests placed so far. */
  public RequestCosts costs() {
    return costs;
  }

  // -----------------------------------------------------------------------

  private void count(Placement placement, int sign) {
    EndpointRecord endpoint = records.get(placement.endpoint());
    if (endpoint != null && endpoint.generation == placement.generation()) {
      endpoint.add(placement.request(), sign);
      endpoint.longLive += placement.isLong() ? sign : 0;
      if (sign > 0) {
        endpoint.speed.placed(clock.nanos());
      }
    }
  }

  /** Compares the speeds of each service's endpoints, at intervals. */
  private void compareSpeeds(long now) {
    if (compared && now - nextComparisonNanos < 0) {
      return;
    }
    compared = true;
    nextComparisonNanos = now + COMPARISON_NANOS;
    records.values().stream()
        .collect(
            Collectors.groupingBy(
                endpoint -> endpoint.endpoint.service(),
                Collectors.mapping(endpoint -> endpoint.speed, Collectors.toList())))
        .values()
        .forEach(speeds -> SpeedComparison.update(speeds, now));
  }

  /** Returns whether the endpoint was not draining before. */
  private boolean drain(EndpointRecord endpoint) {
    boolean news = !endpoint.draining;
    endpoint.draining = true;
    endpoint.drainingSinceNanos = clock.nanos();
    return news;
  }

  /** Returns whether the endpoint was in use before. */
  private boolean eject(EndpointRecord endpoint) {
    boolean news = !endpoint.ejected || clock.hasPassed(endpoint.ejectedUntilNanos);
    endpoint.ejected = true;
    endpoint.ejectedUntilNanos = clock.deadlineAfterMillis(EJECTION_MILLIS);
    return news;
  }

  private void clearDraining(EndpointRecord held, Endpoint listed) {
    boolean live = listed.state() == EndpointState.LIVE;
    boolean returned = live && held.endpoint.state() == EndpointState.LEAVING;
    long age = clock.nanos() - held.drainingSinceNanos;
    if (returned || (live && age >= DRAINING_MILLIS * 1_000_000L)) {
      held.draining = false;
    }
  }

  private boolean usable(EndpointRecord endpoint) {
    return endpoint.endpoint.state() == EndpointState.LIVE
        && !endpoint.draining
        && !drained.contains(endpoint.endpoint.name())
        && (!endpoint.ejected || clock.hasPassed(endpoint.ejectedUntilNanos));
  }

  private EndpointView view(EndpointRecord endpoint, long now) {
    return new EndpointView(
        endpoint.endpoint,
        slots.getOrDefault(endpoint.endpoint.service(), DEFAULT_SLOTS),
        endpoint.live,
        peers.sum(endpoint.endpoint.name()),
        endpoint.batch,
        endpoint.cost,
        endpoint.longLive,
        endpoint.speed.slowness(now),
        endpoint.endpoint.region().equals(region));
  }

  private static Predicate<EndpointRecord> isAt(URI address) {
    return endpoint -> endpoint.endpoint.address().equals(address);
  }

  /** Changes an endpoint and passes it on, without the lock, if the change was news. */
  private void observe(
      String name,
      Predicate<EndpointRecord> condition,
      Predicate<EndpointRecord> change,
      Consumer<Endpoint> notice) {
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
      notice.accept(changed);
    }
  }
}
