package org.sedgeroad.live;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.engine.EngineCall;
import org.sedgeroad.route.EndpointView;
import org.sedgeroad.route.Placement;
import org.sedgeroad.route.RequestShape;

/** Places the attempts of one live request and sends them. Used by the request's thread only. */
final class AttemptStarter {
  private static final String RESUME_PATH = "/v1/resume";

  private final LiveServiceParts parts;
  private final LiveRequest request;
  private final LiveCall call;
  private int numbers;

  AttemptStarter(LiveServiceParts parts, LiveRequest request, LiveCall call) {
    this.parts = parts;
    this.request = request;
    this.call = call;
  }

  /** Runs the request at the endpoint that the policy chooses; empty if there is none. */
  Optional<Attempt> start(RequestShape shape) {
    Optional<EndpointView> chosen =
        parts.policy().choose(shape, parts.endpoints().candidates(shape), parts.random());
    return chosen.map(view -> start(shape, view));
  }

  private Attempt start(RequestShape shape, EndpointView view) {
    Placement placement = parts.endpoints().begin(view.endpoint(), shape);
    int number = ++numbers;
    String runId = request.id() + "-" + number;
    Attempt attempt = Attempt.of(number, placement, parts, runId);
    // The home is told before the request is sent, so that batch work starts to give way first.
    parts.placements().placed(placement, view);
    return send(
        attempt, request.method(), request.path(), request.headers(), request.body(), runId);
  }

  /** Asks the endpoint of a broken attempt for the rest of its run. */
  Attempt resume(Attempt broken) {
    Placement placement = parts.endpoints().beginAgain(broken.placement());
    int number = ++numbers;
    Attempt attempt = broken.toResumed(number, placement);
    String body =
        JsonNodeFactory.instance
            .objectNode()
            .put("request_id", broken.runId())
            .put("offset", broken.received())
            .toString();
    return send(
        attempt,
        "POST",
        RESUME_PATH,
        Map.of("Content-Type", "application/json"),
        body.getBytes(StandardCharsets.UTF_8),
        request.id() + "-" + number);
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
      attempt.started(parts.engine().start(engineCall, call.listener(attempt.number())));
    } catch (RuntimeException failure) {
      attempt.close();
      throw failure;
    }
    return attempt;
  }
}
