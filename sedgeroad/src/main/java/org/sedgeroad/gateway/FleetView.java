package org.sedgeroad.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.sedgeroad.MonotonicClock;

/**
 * The endpoints as registered, with those whose registration was removed a moment ago.
 *
 * <p>A store that was away removes registrations that come back shortly after its return. An
 * endpoint without registration stays known for a while, to be used only if no other is left. Used
 * on the event loop.
 */
public final class FleetView {
  /**
   * Time for which an endpoint without registration stays known, in milliseconds: registrations are
   * back within 2 s, and a leaving endpoint serves for at least 2.5 s.
   */
  static final long REMOVAL_MILLIS = 1_900;

  private final MonotonicClock clock;
  private final Map<String, ServiceEndpoint> registered = new HashMap<>();
  private final Map<String, Removed> removed = new HashMap<>();

  private record Removed(ServiceEndpoint endpoint, long dropAtNanos) {}

  /** Creates an empty view. */
  public FleetView(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Adds or replaces a registration. */
  public void put(ServiceEndpoint endpoint) {
    removed.remove(endpoint.name());
    registered.put(endpoint.name(), endpoint);
  }

  /** Removes a registration. */
  public void remove(String name) {
    ServiceEndpoint endpoint = registered.remove(name);
    if (endpoint != null && !endpoint.draining()) {
      removed.put(name, new Removed(endpoint, clock.deadlineAfterMillis(REMOVAL_MILLIS)));
    }
  }

  /** Replaces all registrations. */
  public void replaceAll(List<ServiceEndpoint> endpoints) {
    Set<String> names = endpoints.stream().map(ServiceEndpoint::name).collect(Collectors.toSet());
    List.copyOf(registered.keySet()).stream()
        .filter(name -> !names.contains(name))
        .forEach(this::remove);
    endpoints.forEach(this::put);
  }

  /** Returns the registered endpoints. */
  public Collection<ServiceEndpoint> registered() {
    return List.copyOf(registered.values());
  }

  /** Returns the endpoints whose registration was removed a moment ago. */
  public Collection<ServiceEndpoint> unregistered() {
    removed.values().removeIf(entry -> clock.hasPassed(entry.dropAtNanos()));
    return removed.values().stream().map(Removed::endpoint).toList();
  }
}
