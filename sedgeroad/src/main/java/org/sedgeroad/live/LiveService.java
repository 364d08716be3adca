package org.sedgeroad.live;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.engine.EngineCall;
import org.sedgeroad.engine.EngineClient;
import org.sedgeroad.engine.EngineFailure;
import org.sedgeroad.engine.EngineStream;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.http.HttpHead;
import org.sedgeroad.limit.Admission;
import org.sedgeroad.limit.LimitGate;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.route.EndpointView;
import org.sedgeroad.route.Placement;
import org.sedgeroad.route.RequestShape;
import org.sedgeroad.route.RoutingPolicy;

/**
 * Serves live requests: admits, places, retries where that is allowed, and passes on whole answers.
 *
 * <p>Thread-safe; one worker thread serves one request.
 */
public final class LiveService {
  private static final int ATTEMPTS = 3;

  private final EndpointTable endpoints;
  private final RoutingPolicy policy;
  private final EngineClient engine;
  private final LimitGate limits;
  private final ClaimBook claims;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final EventLog log;

  /** Creates a service. */
  public LiveService(LiveServiceParts parts) {
    this.endpoints = parts.endpoints();
    this.policy = parts.policy();
    this.engine = parts.engine();
    this.limits = parts.limits();
    this.claims = parts.claims();
    this.clock = parts.clock();
    this.random = parts.random();
    this.log = parts.log();
  }

  /**
   * Serves one request to its end.
   *
   * @throws IOException if the caller is gone
   * @throws InterruptedException if the thread is interrupted
   */
  public void serve(LiveRequest request, LiveCall call, AnswerSink sink)
      throws IOException, InterruptedException {
    RequestShape shape = request.shape();
    Admission admission = limits.admit(shape.member(), ServiceClass.LIVE, shape.cost());
    if (admission instanceof Admission.OverLimit over) {
      sink.fail(
          new LiveFailure(
              429,
              "limit_exceeded",
              "the voted limit " + over.limit() + " of " + shape.member() + " is used up",
              org.sedgeroad.WorkState.NOT_RUN,
              Optional.of(over.retryAt())));
      return;
    }
    Optional<LiveFailure> refusal = claims.claim(request);
    if (refusal.isPresent()) {
      sink.fail(refusal.get());
      return;
    }
    place(request, call, sink);
  }

  // -----------------------------------------------------------------------

  private void place(LiveRequest request, LiveCall call, AnswerSink sink)
      throws IOException, InterruptedException {
    RequestShape shape = request.shape();
    LiveFailure last = null;
    Delivery delivery = new Delivery(sink);
    boolean mayHaveRun = false;
    for (int attempt = 0; attempt < ATTEMPTS; ) {
      List<EndpointView> candidates = endpoints.candidates(shape);
      Optional<EndpointView> chosen = policy.choose(shape, candidates, random);
      if (chosen.isEmpty()) {
        break;
      }
      String endpoint = chosen.get().endpoint().name();
      AttemptEnd end = attempt(request, call, delivery, chosen.get());
      if (end instanceof AttemptEnd.Delivered) {
        return;
      }
      EngineFailure failure = ((AttemptEnd.Failed) end).failure();
      log.log(
          LogEvent.ENDPOINT_FAILED,
          EventField.of("endpoint", endpoint),
          EventField.of("request", request.id()),
          EventField.of("reason", failure.reason()));
      shape = shape.withExcluded(endpoint);
      if (failure instanceof EngineFailure.NotRun) {
        continue;
      }
      attempt++;
      mayHaveRun = true;
      last = LiveFailure.unknown("endpoint_failed", failure.reason());
      boolean resumable = delivery.isEmpty() || request.deterministic();
      if (!shape.idempotent() || !resumable) {
        break;
      }
      delivery.restart();
    }
    if (!mayHaveRun) {
      last = LiveFailure.notRun(503, "no_endpoint", "no endpoint can take the request now");
    }
    log.log(
        LogEvent.REQUEST_FAILED,
        EventField.of("request", request.id()),
        EventField.of("work", last.work().toText()),
        EventField.of("reason", last.message()));
    sink.fail(last);
  }

  private AttemptEnd attempt(
      LiveRequest request, LiveCall call, Delivery delivery, EndpointView chosen)
      throws IOException, InterruptedException {
    Placement placement = endpoints.begin(chosen.endpoint().name(), request.shape());
    int number = delivery.nextAttempt();
    EngineCall engineCall =
        new EngineCall(
            request.method(),
            chosen.endpoint().address().resolve(request.path()),
            request.headers(),
            request.body(),
            request.id() + "-" + number,
            ServiceClass.LIVE,
            request.shape().idempotent(),
            request.deadlineNanos());
    try (EngineStream stream = engine.start(engineCall, call.listener(number))) {
      return deliver(request, call, delivery, placement, number);
    } finally {
      endpoints.end(placement);
    }
  }

  private AttemptEnd deliver(
      LiveRequest request, LiveCall call, Delivery delivery, Placement placement, int number)
      throws IOException, InterruptedException {
    HttpHead head = null;
    while (true) {
      LiveEvent event = call.next(request.deadlineNanos(), clock);
      if (event == null) {
        return new AttemptEnd.Failed(new EngineFailure.Broken("deadline passed"));
      }
      if (event instanceof LiveEvent.CallerGone) {
        log.log(LogEvent.CALLER_GONE, EventField.of("request", request.id()));
        throw new IOException("caller went away");
      }
      if (event instanceof LiveEvent.Head received && received.attempt() == number) {
        head = received.head();
      } else if (event instanceof LiveEvent.Data data && data.attempt() == number) {
        delivery.event(data.data());
      } else if (event instanceof LiveEvent.Whole whole && whole.attempt() == number) {
        delivery.whole(head, whole.body());
        return new AttemptEnd.Delivered();
      } else if (event instanceof LiveEvent.Failed failed && failed.attempt() == number) {
        noteFailure(placement.endpoint(), failed.failure());
        return new AttemptEnd.Failed(failed.failure());
      }
    }
  }

  private void noteFailure(String endpoint, EngineFailure failure) {
    if (failure instanceof EngineFailure.NotRun notRun && notRun.draining()) {
      log.log(LogEvent.ENDPOINT_DRAINING, EventField.of("endpoint", endpoint));
      endpoints.markDraining(endpoint);
    } else {
      endpoints.markFailed(endpoint);
    }
  }
}
