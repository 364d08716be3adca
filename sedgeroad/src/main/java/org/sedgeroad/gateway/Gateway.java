package org.sedgeroad.gateway;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;

/** Serves requests whose clients wait for the answer, as opposed to batch jobs. */
public final class Gateway {
  /**
   * Time after which a client of an instance without a configuration may retry, in milliseconds;
   * other instances are available at once, this one reads the store every 0.25 s.
   */
  private static final long NO_CONFIGURATION_RETRY_MILLIS = 300;

  /**
   * Time after which a client of a stopping instance may retry, in milliseconds; other instances
   * are available at once.
   */
  private static final long STOPPING_RETRY_MILLIS = 20;

  /**
   * Longest time for which a request waits until an instance that has just started is ready, in
   * milliseconds; a fifth of the time that clients usually wait.
   */
  private static final long START_WAIT_MILLIS = 1_000;

  /**
   * Time between two checks whether a starting instance is ready, in milliseconds; a thirtieth of
   * the objective of a live request.
   */
  private static final long START_POLL_MILLIS = 10;

  private final GatewayDependencies dependencies;
  private final PriorWaitEstimator priorWaitEstimator = new PriorWaitEstimator();
  private final Set<RequestRun> runs = new HashSet<>();
  private boolean stopping;

  /** Creates a gateway; the dependencies must not be null. */
  public Gateway(GatewayDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /** Causes new requests to be refused as not run, because they might not end before the stop. */
  public void stop() {
    stopping = true;
  }

  /**
   * Ends all requests in progress, because the instance closes their connections next. Those that
   * were not sent to an endpoint are refused as not run.
   */
  public void endRequests() {
    // Those that wait end first: they would be sent to the places that the others leave.
    Set.copyOf(runs).stream()
        .sorted(Comparator.comparing(RequestRun::isAtEndpoint))
        .forEach(RequestRun::endBeforeStop);
  }

  /**
   * Runs a task once routes and endpoints are known, at the latest when the request has waited for
   * {@link #START_WAIT_MILLIS} or the instance is stopping.
   *
   * <p>After an outage clients return as soon as an instance listens, a few tenths of a second
   * before it has read the store. A refusal would use up the last attempt of some of them.
   *
   * @param arrivedNanos monotonic time at which the request arrived, in nanoseconds
   * @param task task that handles the request, not null
   */
  public void whenReady(long arrivedNanos, Runnable task) {
    boolean waited = dependencies.clock().nanos() - arrivedNanos >= START_WAIT_MILLIS * 1_000_000L;
    if (stopping || waited || dependencies.ready().getAsBoolean()) {
      task.run();
    } else {
      dependencies
          .loop()
          .scheduleAt(
              dependencies.clock().deadlineAfterMillis(START_POLL_MILLIS),
              () -> whenReady(arrivedNanos, task));
    }
  }

  /**
   * Returns the refusal of all requests while the instance has no routes or is stopping, empty
   * otherwise.
   */
  public Optional<Refusal> unavailable() {
    if (stopping) {
      return Optional.of(notRun("the instance is stopping", STOPPING_RETRY_MILLIS));
    }
    return dependencies.routes().isKnown()
        ? Optional.empty()
        : Optional.of(notRun("no configuration is known yet", NO_CONFIGURATION_RETRY_MILLIS));
  }

  private Refusal notRun(String text, long retryMillis) {
    return new Refusal(
        Refusal.Reason.NOT_RUN, text, dependencies.clock().deadlineAfterMillis(retryMillis));
  }

  /**
   * Refuses a request that is not forwarded.
   *
   * @param id id of the client's attempt, empty if it has none
   * @param path path of the request
   * @param workspace name of the workspace that sent it, empty if unknown
   * @param refusal the refusal
   * @param answer sends the refusal to the client
   */
  public void refuse(
      String id, String path, String workspace, Refusal refusal, ClientAnswer answer) {
    dependencies.log().log(
        LogEvent.REQUEST_REFUSED,
        EventField.of("request", id),
        EventField.of("path", path),
        EventField.of("workspace", workspace),
        EventField.of("reason", refusal.reason()),
        EventField.of("cause", refusal.text()),
        EventField.of("configuration", dependencies.routes().current().version()));
    dependencies.metrics().recordRefusal("", refusal.reason());
    dependencies.metrics().recordWorkspace(workspace, refusal.reason().name());
    answer.refuse(refusal);
  }

  /**
   * Forwards a request to an endpoint of one of the route's services.
   *
   * @param route the matching route, of any kind but batch
   * @param request the request
   * @param permit permission to send the request
   * @param answer sends the answer to the client
   * @return the run, whose {@link RequestRun#clientDisconnected} is to be called if the client
   *     disconnects
   */
  public RequestRun forward(
      Route route, ClientRequest request, RequestPermit permit, ClientAnswer answer) {
    long waitedNanos =
        priorWaitEstimator.waitedNanos(
            route.name(), request.deadlineNanos() - request.arrivedNanos());
    RequestRun run =
        new RequestRun(dependencies, route, request, permit, answer, waitedNanos, runs::remove);
    runs.add(run);
    run.start();
    return run;
  }
}
