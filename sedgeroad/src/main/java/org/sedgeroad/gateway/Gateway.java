package org.sedgeroad.gateway;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;

/** Serves the clients' requests that are answered while the client waits. */
public final class Gateway {
  /** Time after which a client of an instance that knows no configuration may come back. */
  private static final long NO_CONFIGURATION_RETRY_MILLIS = 300;

  /** Time after which a client of a stopping instance may come back; others are there. */
  private static final long STOPPING_RETRY_MILLIS = 20;

  private final GatewayParts parts;
  private boolean stopping;

  /** Creates a gateway. */
  public Gateway(GatewayParts parts) {
    this.parts = parts;
  }

  /** From now on, requests are refused as not run, because they might not end in time. */
  public void stop() {
    stopping = true;
  }

  /** Returns a refusal of all requests while the instance knows no routes or is stopping. */
  public Optional<Refusal> unavailable() {
    if (stopping) {
      return Optional.of(notRun("the instance is stopping", STOPPING_RETRY_MILLIS));
    }
    return parts.routes().isKnown()
        ? Optional.empty()
        : Optional.of(notRun("no configuration is known yet", NO_CONFIGURATION_RETRY_MILLIS));
  }

  private Refusal notRun(String text, long retryMillis) {
    return new Refusal(
        Refusal.Reason.NOT_RUN, text, parts.clock().deadlineAfterMillis(retryMillis));
  }

  /**
   * Refuses a request that gets no place.
   *
   * @param id id of the client's attempt, empty if it has none
   * @param path path of the request
   * @param refusal the reason
   * @param answer where the answer goes
   */
  public void refuse(String id, String path, Refusal refusal, ClientAnswer answer) {
    parts.log().log(
        LogEvent.REQUEST_REFUSED,
        EventField.of("request", id),
        EventField.of("path", path),
        EventField.of("reason", refusal.reason()),
        EventField.of("cause", refusal.text()),
        EventField.of("configuration", parts.routes().current().version()));
    parts.metrics().refused("", refusal.reason());
    answer.refuse(refusal);
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
    RequestRun run = new RequestRun(parts, route, service, request, answer);
    run.start();
    return run;
  }
}
