package org.sedgeroad.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.sedgeroad.MonotonicClock;

/**
 * Keeps the registered endpoints and those whose registration was removed recently. Used on the
 * event loop.
 *
 * <p>When the store is available again after an outage, it removes registrations, and their
 * endpoints add them again shortly after. An endpoint whose registration was removed is therefore
 * kept for a while, but used only if no healthy endpoint is left.
 */
public final class EndpointRegistrations {
  /**
   * Time for which an endpoint without a registration is kept, in milliseconds. After an outage of
   * the store, registrations are back within about 2 s. For at least 2.5 s, a stopping endpoint
   * still serves, so it is dropped before it ends.
   */
  static final long UNREGISTERED_RETENTION_MILLIS = 2_100;

  private final MonotonicClock clock;
  private final Map<String, ServiceEndpoint> registered = new HashMap<>();
  private final Map<String, Removed> removed = new HashMap<>();

  private record Removed(ServiceEndpoint endpoint, long dropAtNanos) {}

  /** Creates an empty set of registrations. */
  public EndpointRegistrations(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Adds the registration of an endpoint, or replaces the one of the same name. */
  public void put(ServiceEndpoint endpoint) {
    removed.remove(endpoint.name());
    registered.put(endpoint.name(), endpoint);
  }

  /** Removes a registration by name; the endpoint is kept for a while unless it is draining. */
  public void remove(String name) {
    ServiceEndpoint endpoint = registered.remove(name);
    if (endpoint != null && !endpoint.draining()) {
      removed.put(
          name, new Removed(endpoint, clock.deadlineAfterMillis(UNREGISTERED_RETENTION_MILLIS)));
    }
  }

  /** Replaces all registrations; those that are not in the list are removed. */
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

  /** Returns the endpoints whose registration was removed recently. */
  public Collection<ServiceEndpoint> unregistered() {
    removed.values().removeIf(entry -> clock.hasPassed(entry.dropAtNanos()));
    return removed.values().stream().map(Removed::endpoint).toList();
  }
}
