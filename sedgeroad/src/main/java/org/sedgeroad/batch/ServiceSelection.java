package org.sedgeroad.batch;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.sedgeroad.gateway.Route;
import org.sedgeroad.placement.ServiceState;

/**
 * Selects the services of waiting items, at one moment. Must be used on the event loop.
 *
 * <p>The items of a route that is split are divided among its services by weight. A service that
 * can't run items gets none; those that it would get go to the others. An item waits for a slot of
 * its service while it can be on time; before it becomes late, it takes a free slot of any of them.
 */
final class ServiceSelection {
  /**
   * Time before an item becomes late from which it does not wait for a full service, in
   * nanoseconds. It is half of the time within which a run must deliver its first event.
   */
  private static final long LAST_WAIT_NANOS = 2_000_000_000L;

  private final Function<String, ServiceState> stateReader;
  private final Map<String, ServiceState> states = new HashMap<>();

  /**
   * Creates a selection.
   *
   * @param stateReader returns the state of the service with a name, which is read at most once
   */
  ServiceSelection(Function<String, ServiceState> stateReader) {
    this.stateReader = stateReader;
  }

  /**
   * Returns the name of the service at which an item is to run next.
   *
   * @param slackNanos returns for how long the item can wait and still end by its due time, in
   *     nanoseconds; read only if the route is split
   */
  String serviceFor(OwnedItem item, Route route, LongSupplier slackNanos) {
    if (!route.isSplit()) {
      return route.serviceFor(0);
    }
    Predicate<String> available = service -> state(service).isServing();
    if (slackNanos.getAsLong() < LAST_WAIT_NANOS && anyFree(route)) {
      available = service -> state(service) == ServiceState.FREE;
    }
    return route.serviceFor(item.serviceChoice(), available);
  }

  private boolean anyFree(Route route) {
    return route.services().stream()
        .anyMatch(
            candidate ->
                route.allows(candidate.service())
                    && state(candidate.service()) == ServiceState.FREE);
  }

  private ServiceState state(String service) {
    return states.computeIfAbsent(service, stateReader);
  }
}
