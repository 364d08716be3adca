package org.sedgeroad.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.gateway.EndpointRegistrations;
import org.sedgeroad.gateway.RouteTableHolder;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.placement.Dispatcher;
import org.sedgeroad.store.KindWatcher;
import org.sedgeroad.store.StoredObject;

/** Passes the registered endpoints to the dispatcher. Used on the event loop. */
final class EndpointsUpdater implements KindWatcher.Listener {
  private final PlatformBinding platform;
  private final RouteTableHolder routes;
  private final Dispatcher dispatcher;
  private final EventLog log;
  private final EndpointRegistrations registrations;
  private final Map<String, ServiceEndpoint> loggedEndpoints = new HashMap<>();
  private boolean listedOnce;
  private int unregisteredCount;

  EndpointsUpdater(
      PlatformBinding platform,
      RouteTableHolder routes,
      Dispatcher dispatcher,
      MonotonicClock clock,
      EventLog log) {
    this.platform = platform;
    this.routes = routes;
    this.dispatcher = dispatcher;
    this.log = log;
    this.registrations = new EndpointRegistrations(clock);
  }

  /** Returns whether the endpoints have been listed at least once. */
  boolean hasBeenListed() {
    return listedOnce;
  }

  /** Drops unregistered endpoints whose retention time has passed. */
  void refresh() {
    if (unregisteredCount != registrations.unregistered().size()) {
      updateDispatcher();
    }
  }

  /** Updates the slot counts of the endpoints after the routes have changed. */
  void applyRoutes() {
    updateDispatcher();
  }

  @Override
  public void listed(List<StoredObject> objects) {
    listedOnce = true;
    List<ServiceEndpoint> endpoints = new ArrayList<>();
    for (StoredObject object : objects) {
      endpoint(object).ifPresent(endpoints::add);
    }
    registrations.replaceAll(endpoints);
    updateDispatcher();
  }

  @Override
  public void changed(StoredObject object) {
    Optional<ServiceEndpoint> endpoint = endpoint(object);
    if (endpoint.isPresent()) {
      registrations.put(endpoint.get());
      if (!endpoint.get().equals(loggedEndpoints.put(object.name(), endpoint.get()))) {
        logChange(object, endpoint.get().draining() ? "draining" : "ready");
      }
    } else {
      registrations.remove(object.name());
      loggedEndpoints.remove(object.name());
      logChange(object, object.isDeleted() ? "removed" : "not usable");
    }
    updateDispatcher();
  }

  private void logChange(StoredObject object, String state) {
    log.log(
        LogEvent.ENDPOINT_CHANGED,
        EventField.of("endpoint", object.name()),
        EventField.of("state", state),
        EventField.of("store_version", object.version()));
  }

  private Optional<ServiceEndpoint> endpoint(StoredObject object) {
    return object.isDeleted() ? Optional.empty() : platform.endpoint(object);
  }

  private void updateDispatcher() {
    List<ServiceEndpoint> endpoints = new ArrayList<>();
    for (ServiceEndpoint endpoint : registrations.registered()) {
      endpoints.add(
          endpoint.withSlots(routes.current().slots(endpoint.service(), endpoint.slots())));
    }
    List<ServiceEndpoint> unregistered = new ArrayList<>();
    for (ServiceEndpoint endpoint : registrations.unregistered()) {
      unregistered.add(
          endpoint.withSlots(routes.current().slots(endpoint.service(), endpoint.slots())));
    }
    unregisteredCount = unregistered.size();
    dispatcher.setEndpoints(endpoints, unregistered);
  }
}
