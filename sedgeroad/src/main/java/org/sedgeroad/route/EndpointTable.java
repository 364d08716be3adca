package org.sedgeroad.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
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

  private static final int DEFAULT_SLOTS = 8;

  private final ReentrantLock lock = new ReentrantLock();
  private final Map<String, EndpointRecord> records = new LinkedHashMap<>();
  private final Map<String, Integer> slots = new HashMap<>();
  private final Set<String> drained = new HashSet<>();
  private final String region;
  private final MonotonicClock clock;

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
        EndpointRecord updated = same ? known : new EndpointRecord(endpoint);
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
    change(name, endpoint -> endpoint.draining = true);
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
    change(name, endpoint -> endpoint.ejectedUntil = clock.deadlineAfterMillis(EJECTION_MILLIS));
  }

  /** Sets the live requests that other instances have in flight at an endpoint. */
  public void setPeerLive(String name, int count) {
    change(name, endpoint -> endpoint.peerLive = count);
  }

  // -----------------------------------------------------------------------

  /** Returns the endpoints that may get new work of a service, in name order. */
  public List<EndpointView> candidates(RequestShape request) {
    lock.lock();
    try {
      List<EndpointView> views = new ArrayList<>();
      for (EndpointRecord endpoint : records.values()) {
        boolean serves = endpoint.endpoint.service().equals(request.service());
        if (serves && usable(endpoint) && !request.excluded().contains(endpoint.endpoint.name())) {
          views.add(view(endpoint));
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
      return records.values().stream().filter(this::usable).map(this::view).toList();
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

  /** Counts a request as placed at an endpoint. */
  public Placement begin(String name, RequestShape request) {
    change(name, endpoint -> endpoint.add(request, 1));
    return new Placement(name, request, clock.nanos());
  }

  /** Ends a placement. */
  public void end(Placement placement) {
    change(placement.endpoint(), endpoint -> endpoint.add(placement.request(), -1));
  }

  // -----------------------------------------------------------------------

  private boolean usable(EndpointRecord endpoint) {
    return endpoint.endpoint.state() == EndpointState.LIVE
        && !endpoint.draining
        && !drained.contains(endpoint.endpoint.name())
        && (endpoint.ejectedUntil == 0 || clock.hasPassed(endpoint.ejectedUntil));
  }

  private EndpointView view(EndpointRecord endpoint) {
    return new EndpointView(
        endpoint.endpoint,
        slots.getOrDefault(endpoint.endpoint.service(), DEFAULT_SLOTS),
        endpoint.live,
        endpoint.peerLive,
        endpoint.batch,
        endpoint.cost,
        0,
        1.0,
        endpoint.endpoint.region().equals(region));
  }

  private void change(String name, java.util.function.Consumer<EndpointRecord> change) {
    lock.lock();
    try {
      EndpointRecord endpoint = records.get(name);
      if (endpoint != null) {
        change.accept(endpoint);
      }
    } finally {
      lock.unlock();
    }
  }

  /** Mutable state of one endpoint, guarded by the table's lock. */
  private static final class EndpointRecord {
    private Endpoint endpoint;
    private boolean draining;
    private long ejectedUntil;
    private int live;
    private int peerLive;
    private int batch;
    private long cost;

    EndpointRecord(Endpoint endpoint) {
      this.endpoint = endpoint;
    }

    void add(RequestShape request, int sign) {
      if (request.serviceClass() == ServiceClass.LIVE) {
        live = Math.max(0, live + sign);
      } else {
        batch = Math.max(0, batch + sign);
      }
      cost = Math.max(0, cost + sign * request.cost());
    }
  }
}
