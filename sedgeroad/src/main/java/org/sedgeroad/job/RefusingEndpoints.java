package org.sedgeroad.job;

import java.util.HashMap;
import java.util.Map;
import org.sedgeroad.Endpoint;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.route.Placement;

/**
 * Endpoints that refused a connection, which get no items until a probe is accepted. The instance
 * list may show a lost endpoint for a long time. Used by the runner's thread only.
 */
final class RefusingEndpoints {
  private static final long PROBE_INTERVAL_NANOS = 1_000_000_000L;

  private final Map<String, Refusal> refusals = new HashMap<>();
  private final RunnerState state;
  private final BackgroundCalls calls;

  RefusingEndpoints(RunnerState state, BackgroundCalls calls) {
    this.state = state;
    this.calls = calls;
  }

  /** Adds the endpoint of an item that was not sent because the connection was refused. */
  void add(Placement placement) {
    refusals.putIfAbsent(
        placement.endpoint(), new Refusal(placement, state.now() + PROBE_INTERVAL_NANOS));
  }

  /** Returns whether an endpoint, at its present address, has refused a connection. */
  boolean contains(Endpoint endpoint) {
    Refusal refusal = refusals.get(endpoint.name());
    return refusal != null && refusal.placement().address().equals(endpoint.address());
  }

  /** Probes the endpoints that are due, and removes those that have a new address. */
  void probeDue() {
    long now = state.now();
    refusals.values().removeIf(refusal -> !isListed(refusal.placement()));
    for (Refusal refusal : refusals.values().toArray(Refusal[]::new)) {
      if (now - refusal.nextProbeNanos() >= 0) {
        refusals.put(
            refusal.placement().endpoint(),
            new Refusal(refusal.placement(), now + PROBE_INTERVAL_NANOS));
        probe(refusal.placement());
      }
    }
  }

  private boolean isListed(Placement placement) {
    return state
        .dependencies()
        .endpoints()
        .find(placement.endpoint())
        .filter(endpoint -> endpoint.address().equals(placement.address()))
        .isPresent();
  }

  private void probe(Placement placement) {
    calls.call(
        () -> state.dependencies().crashGuard().probe().test(placement),
        refuses -> {
          if (!refuses) {
            refusals.remove(placement.endpoint());
          }
        },
        failure ->
            state
                .dependencies()
                .log()
                .log(LogEvent.REQUEST_ERROR, EventField.of("cause", failure)));
  }

  private record Refusal(Placement placement, long nextProbeNanos) {}
}
