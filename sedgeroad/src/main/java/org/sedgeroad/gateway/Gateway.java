package org.sedgeroad.gateway;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/** Serves the clients' requests that are answered while the client waits. */
public final class Gateway {
  /** Time after which a client of an instance that knows no configuration may come back. */
  private static final long NO_CONFIGURATION_RETRY_MILLIS = 300;

  private final GatewayParts parts;
  private int active;

  /** Creates a gateway. */
  public Gateway(GatewayParts parts) {
    this.parts = parts;
  }

  /** Returns the requests without a final answer. */
  public int active() {
    return active;
  }

  /** Returns a refusal if no route can be looked up yet. */
  public Optional<Refusal> unavailable() {
    if (parts.routes().isKnown()) {
      return Optional.empty();
    }
    return Optional.of(
        new Refusal(
            Refusal.Reason.NOT_RUN,
            "no configuration is known yet",
            parts.clock().deadlineAfterMillis(NO_CONFIGURATION_RETRY_MILLIS)));
  }

  /**
   * Forwards a request to an endpoint of the route's service.
   *
   * @param route the matching route, of any kind but batch
   * @param request the request
   * @param answer where the answer goes
   * @return the run, to be told if the client goes away
   */
  public RequestRun forward(Route route, ClientRequest request, ClientAnswer answer) {
    String service = route.serviceFor(ThreadLocalRandom.current().nextDouble());
    active++;
    RequestRun run = new RequestRun(parts, route, service, request, answer, () -> active--);
    run.start();
    return run;
  }
}
