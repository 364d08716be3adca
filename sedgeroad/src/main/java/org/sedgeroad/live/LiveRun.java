package org.sedgeroad.live;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sedgeroad.WorkState;
import org.sedgeroad.engine.EngineFailure;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.route.CrashVerdict;
import org.sedgeroad.route.CrashingRequestDetector;
import org.sedgeroad.route.RequestShape;

/** Serves one admitted live request with one or more attempts. Used by one thread. */
final class LiveRun {
  private static final int MAX_BROKEN_ATTEMPTS = 3;

  /** Maximum wait for an endpoint without another suspect; after that the request is refused. */
  private static final long SUSPECT_WAIT_MILLIS = 10_000;

  private static final long SUSPECT_RETRY_MILLIS = 20;

  private final LiveServiceDependencies dependencies;
  private final LiveRequest request;
  private final LiveEventQueue eventQueue;
  private final AnswerSink sink;
  private final Delivery delivery;
  private final AttemptStarter starter;
  private final List<Attempt> active = new ArrayList<>();
  private final CrashingRequestDetector detector;
  private final EndpointProbe probe;
  private final HedgeTimer hedgeTimer;
  private RequestShape shape;
  private int brokenAttempts;
  private boolean mayHaveRun;
  private boolean quarantined;
  private String reason = "no endpoint can take the request now";

  LiveRun(
      LiveServiceDependencies dependencies,
      LiveRequest request,
      LiveEventQueue eventQueue,
      AnswerSink sink) {
    this.dependencies = dependencies;
    this.request = request;
    this.eventQueue = eventQueue;
    this.sink = sink;
    this.shape = request.shape();
    this.delivery = new Delivery(sink, request.deterministic() && shape.idempotent());
    this.starter = new AttemptStarter(dependencies, request, eventQueue);
    this.detector = dependencies.crashReportExchange().detector();
    this.probe = new EndpointProbe(dependencies.engine(), dependencies.clock());
    this.hedgeTimer = new HedgeTimer(dependencies, request, starter);
  }

  /** Serves the request and returns when its answer has ended. */
  void serve() throws IOException, InterruptedException {
    try {
      boolean attemptActive = startNext();
      hedgeTimer.start();
      while (attemptActive) {
        LiveEvent event =
            eventQueue.next(
                hedgeTimer.nextWakeNanos(request.deadlineNanos()), dependencies.clock());
        if (event == null && !dependencies.clock().hasPassed(request.deadlineNanos())) {
          hedgeTimer.startAttemptIfDue(shape, active);
        } else if (event == null) {
          mayHaveRun = true;
          reason = "deadline passed";
          attemptActive = false;
        } else if (event instanceof LiveEvent.CallerDisconnected) {
          throw callerGone();
        } else {
          // Events of an abandoned attempt are not part of the answer and are ignored.
          Optional<Attempt> attempt = find(event.attempt());
          if (attempt.isPresent()) {
            if (event instanceof LiveEvent.Complete complete
                && deliverIfAnswer(attempt.get(), complete)) {
              detector.clearSuspicion(shape.fingerprint());
              return;
            }
            attemptActive = processEvent(attempt.get(), event);
          }
        }
      }
    } finally {
      active.forEach(Attempt::close);
    }
    fail();
  }

  private Optional<Attempt> find(int number) {
    return active.stream().filter(attempt -> attempt.number() == number).findFirst();
  }

  /** Processes an event that does not end the answer; returns whether an attempt is active. */
  private boolean processEvent(Attempt attempt, LiveEvent event)
      throws IOException, InterruptedException {
    if (event instanceof LiveEvent.Head received) {
      attempt.setHead(received.head());
      return true;
    }
    if (event instanceof LiveEvent.Data data) {
      abandonOthers(attempt);
      attempt.recordEvent();
      return delivery.processEvent(data.data()) || failDiverged(attempt);
    }
    if (event instanceof LiveEvent.Failed failed) {
      handleConnectionFailure(attempt, failed.failure());
      return continueAfterFailure(attempt, failed.failure());
    }
    // The answer is complete but was not delivered. The endpoint has answered, so that it is not
    // marked as failed.
    return continueAfterFailure(attempt, new EngineFailure.Broken("the endpoint could not go on"));
  }

  /**
   * Delivers a complete answer; returns false if it can't be delivered. An error status is not
   * delivered if the attempt was resumed or another attempt is still active.
   */
  private boolean deliverIfAnswer(Attempt attempt, LiveEvent.Complete complete) throws IOException {
    int status = attempt.head().status();
    boolean refused = attempt.isResumed() ? status != 200 : active.size() > 1 && status >= 500;
    if (refused) {
      return false;
    }
    abandonOthers(attempt);
    return delivery.complete(attempt.head(), complete.body());
  }

  /** Abandons all other attempts: the first attempt with an event provides the answer. */
  private void abandonOthers(Attempt winner) {
    hedgeTimer.stop();
    if (active.size() > 1) {
      mayHaveRun = true;
      List.copyOf(active).stream().filter(attempt -> attempt != winner).forEach(this::abandon);
    }
  }

  private boolean failDiverged(Attempt attempt) {
    abandon(attempt);
    reason = "the restarted answer differs from the part already sent";
    return false;
  }

  /**
   * Starts an attempt; returns whether one was started. A suspect waits for a limited time until it
   * may be sent to an endpoint.
   */
  private boolean startNext() throws IOException, InterruptedException {
    long waitEndNanos = dependencies.clock().deadlineAfterMillis(SUSPECT_WAIT_MILLIS);
    while (true) {
      CrashVerdict verdict = detector.verdict(shape.fingerprint(), dependencies.clock().nanos());
      quarantined = verdict == CrashVerdict.QUARANTINED;
      Optional<Attempt> next = quarantined ? Optional.empty() : starter.start(shape);
      next.ifPresent(active::add);
      boolean wait = verdict == CrashVerdict.SUSPECT || verdict == CrashVerdict.AWAITING_REPORTS;
      if (next.isPresent() || !wait || dependencies.clock().hasPassed(waitEndNanos)) {
        return next.isPresent();
      }
      long wakeNanos = dependencies.clock().deadlineAfterMillis(SUSPECT_RETRY_MILLIS);
      if (eventQueue.next(wakeNanos, dependencies.clock())
          instanceof LiveEvent.CallerDisconnected) {
        throw callerGone();
      }
    }
  }

  private IOException callerGone() {
    dependencies.log().log(LogEvent.CALLER_GONE, EventField.of("request", request.id()));
    return new IOException("caller closed the connection");
  }

  private void abandon(Attempt attempt) {
    active.remove(attempt);
    attempt.close();
  }

  /**
   * Decides whether to resume or restart the request after a failed attempt; returns whether an
   * attempt is active.
   */
  private boolean continueAfterFailure(Attempt attempt, EngineFailure failure)
      throws IOException, InterruptedException {
    abandon(attempt);
    boolean notRun = failure instanceof EngineFailure.NotRun;
    shape = shape.withExcluded(attempt.placement().endpoint());
    if (!notRun) {
      mayHaveRun = true;
      reason = failure.reason();
      brokenAttempts++;
    }
    if (!active.isEmpty()) {
      return true;
    }
    if (!shape.idempotent()) {
      // A refusal by a draining endpoint means that bytes were sent, so that there is no retry.
      return failure instanceof EngineFailure.NotRun refused && !refused.draining() && startNext();
    }
    if (brokenAttempts >= MAX_BROKEN_ATTEMPTS) {
      return false;
    }
    if (!notRun
        && !attempt.hasEndpointCrashed()
        && !attempt.isResumed()
        && !delivery.isEmpty()
        && isCompletionRequest()) {
      Optional<Attempt> resumed = starter.resume(attempt);
      if (resumed.isPresent()) {
        active.add(resumed.get());
        return true;
      }
    }
    return delivery.restart() && startNext();
  }

  private boolean isCompletionRequest() {
    return request.path().startsWith("/v1/completions")
        || request.path().startsWith("/v1/chat/completions");
  }

  private void handleConnectionFailure(Attempt attempt, EngineFailure failure)
      throws InterruptedException {
    recordEndpointFailure(attempt, failure);
    if (failure instanceof EngineFailure.Broken) {
      attempt.closeBroken();
      if (probe.hasCrashed(attempt.placement())) {
        attempt.markEndpointCrashed();
        dependencies.crashReportExchange().endpointLost(attempt.placement());
      }
    }
  }

  private void recordEndpointFailure(Attempt attempt, EngineFailure failure) {
    dependencies.log().log(
        LogEvent.ENDPOINT_FAILED,
        EventField.of("endpoint", attempt.placement().endpoint()),
        EventField.of("request", request.id()),
        EventField.of("reason", failure.reason()));
    if (failure instanceof EngineFailure.NotRun notRun && notRun.draining()) {
      dependencies.log().log(
          LogEvent.ENDPOINT_DRAINING, EventField.of("endpoint", attempt.placement().endpoint()));
      dependencies.endpoints().markDraining(attempt.placement().endpoint(), attempt.address());
    } else {
      dependencies.endpoints().markFailed(attempt.placement().endpoint(), attempt.address());
    }
  }

  private void fail() throws IOException {
    LiveFailure failure;
    if (quarantined) {
      WorkState work = mayHaveRun ? WorkState.UNKNOWN : WorkState.NOT_RUN;
      String message = "the request crashed two endpoints and is refused";
      failure = new LiveFailure(422, "quarantined", message, work, Optional.empty());
    } else if (mayHaveRun) {
      failure = LiveFailure.unknown("endpoint_failed", reason);
    } else {
      failure = LiveFailure.notRun(503, "no_endpoint", "no endpoint can take the request now");
    }
    dependencies.log().log(
        LogEvent.REQUEST_FAILED,
        EventField.of("request", request.id()),
        EventField.of("work", failure.workState().toText()),
        EventField.of("reason", failure.message()));
    sink.fail(failure);
  }
}
