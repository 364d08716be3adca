package org.sedgeroad.live;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.engine.EngineCall;
import org.sedgeroad.route.EndpointView;
import org.sedgeroad.route.Placement;
import org.sedgeroad.route.RequestShape;

/**
 * Places the attempts of one live request at endpoints and sends them. Used by the request's thread
 * only.
 */
final class AttemptStarter {
  private static final String RESUME_PATH = "/v1/resume";

  private final LiveServiceDependencies dependencies;
  private final LiveRequest request;
  private final LiveEventQueue eventQueue;
  private int lastNumber;

  AttemptStarter(
      LiveServiceDependencies dependencies, LiveRequest request, LiveEventQueue eventQueue) {
    this.dependencies = dependencies;
    this.request = request;
    this.eventQueue = eventQueue;
  }

  /**
   * Starts an attempt at the endpoint that the policy chooses; empty if there is none. A request
   * that is suspected of crashing endpoints is not sent to an endpoint where another suspect is
   * running.
   */
  Optional<Attempt> start(RequestShape shape) {
    return chooseAndStart(shape, view -> true);
  }

  /**
   * Starts a second attempt in parallel at another endpoint of this region that has a slot free of
   * live requests and is not slow; empty if there is none.
   */
  Optional<Attempt> startSecond(RequestShape shape) {
    return chooseAndStart(
        shape, view -> view.live() < view.slots() && view.local() && !view.isSlow());
  }

  private Optional<Attempt> chooseAndStart(RequestShape shape, Predicate<EndpointView> filter) {
    List<EndpointView> candidates = new ArrayList<>(dependencies.endpoints().candidates(shape));
    candidates.removeIf(filter.negate());
    while (true) {
      Optional<EndpointView> chosen =
          dependencies.policy().choose(shape, candidates, dependencies.random());
      if (chosen.isEmpty()) {
        return Optional.empty();
      }
      Optional<Attempt> attempt = start(shape, chosen.get());
      if (attempt.isPresent()) {
        return attempt;
      }
      candidates.remove(chosen.get());
    }
  }

  private Optional<Attempt> start(RequestShape shape, EndpointView view) {
    Placement placement = dependencies.endpoints().begin(view.endpoint(), shape);
    if (!dependencies
        .crashReportExchange()
        .detector()
        .tryBegin(placement, dependencies.clock().nanos())) {
      dependencies.endpoints().end(placement);
      return Optional.empty();
    }
    int number = ++lastNumber;
    String runId = request.id() + "-" + number;
    Attempt attempt = Attempt.of(number, placement, dependencies, runId);
    dependencies.hints().recordPlacement(runId, shape.prefixHash(), placement.endpoint());
    // The owner is notified before the request is sent, so that it can start to preempt batch
    // items.
    dependencies.placements().placed(placement, view);
    return Optional.of(
        send(attempt, request.method(), request.path(), request.headers(), request.body(), runId));
  }

  /**
   * Requests the rest of a run from its endpoint after the connection broke; empty if the request
   * must not be sent there.
   */
  Optional<Attempt> resume(Attempt broken) {
    Placement placement = dependencies.endpoints().beginAgain(broken.placement());
    if (!dependencies
        .crashReportExchange()
        .detector()
        .tryBegin(placement, dependencies.clock().nanos())) {
      dependencies.endpoints().end(placement);
      return Optional.empty();
    }
    int number = ++lastNumber;
    Attempt attempt = broken.toResumed(number, placement);
    String body =
        JsonNodeFactory.instance
            .objectNode()
            .put("request_id", broken.runId())
            .put("offset", broken.receivedEvents())
            .toString();
    return Optional.of(
        send(
            attempt,
            "POST",
            RESUME_PATH,
            Map.of("Content-Type", "application/json"),
            body.getBytes(StandardCharsets.UTF_8),
            request.id() + "-" + number));
  }

  private Attempt send(
      Attempt attempt,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      String id) {
    EngineCall engineCall =
        new EngineCall(
            method,
            attempt.address().resolve(path),
            headers,
            body,
            id,
            ServiceClass.LIVE,
            request.shape().idempotent(),
            request.deadlineNanos());
    try {
      attempt.setCallHandle(
          dependencies.engine().start(engineCall, eventQueue.listener(attempt.number())));
    } catch (RuntimeException failure) {
      attempt.close();
      throw failure;
    }
    return attempt;
  }
}
