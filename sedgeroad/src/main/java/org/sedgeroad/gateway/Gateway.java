package org.sedgeroad.gateway;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;

/** Serves the clients' requests that are answered while the client waits. */
public final class Gateway {
  /**
   * Time after which a client of an instance that knows no configuration may come back, in
   * milliseconds; other instances are there at once, this one asks the store every 0.25 s.
   */
  private static final long NO_CONFIGURATION_RETRY_MILLIS = 300;

  /**
   * Time after which a client of a stopping instance may come back, in milliseconds; others are
   * there at once.
   */
  private static final long STOPPING_RETRY_MILLIS = 20;

  /**
   * Longest time that a request waits for an instance that has just started, in milliseconds; a
   * fifth of the time that clients usually wait.
   */
  private static final long START_WAIT_MILLIS = 1_000;

  /**
   * Time between two looks at what a starting instance knows, in milliseconds; a thirtieth of the
   * objective of a live request.
   */
  private static final long START_POLL_MILLIS = 10;

  private final GatewayParts parts;
  private final ClientPatience patience = new ClientPatience();
  private boolean stopping;

  /** Creates a gateway. */
  public Gateway(GatewayParts parts) {
    this.parts = parts;
  }

  /** From now on, requests are refused as not run, because they might not end in time. */
  public void stop() {
    stopping = true;
  }

  /**
   * Runs a task once routes and endpoints are known, or when a request has waited long enough.
   *
   * <p>After an outage clients come back as soon as an instance listens, a few tenths of a second
   * before it has read the store. A refusal would cost some of them their last attempt.
   *
   * @param arrivedNanos monotonic time at which the request arrived
   * @param task handles the request
   */
  public void whenInformed(long arrivedNanos, Runnable task) {
    boolean waited = parts.clock().nanos() - arrivedNanos >= START_WAIT_MILLIS * 1_000_000L;
    if (stopping || waited || parts.ready().getAsBoolean()) {
      task.run();
    } else {
      parts
          .loop()
          .at(
              parts.clock().deadlineAfterMillis(START_POLL_MILLIS),
              () -> whenInformed(arrivedNanos, task));
    }
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
    long waitedNanos =
        patience.waitedNanos(route.name(), request.deadlineNanos() - request.arrivedNanos());
    RequestRun run = new RequestRun(parts, route, service, request, answer, waitedNanos);
    run.start();
    return run;
  }
}
