package org.sedgeroad.live;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sedgeroad.engine.EngineFailure;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.route.RequestShape;

/** Serves one admitted live request over its attempts. Used by one thread. */
final class LiveRun {
  private static final int ATTEMPTS = 3;

  private final LiveServiceParts parts;
  private final LiveRequest request;
  private final LiveCall call;
  private final AnswerSink sink;
  private final Delivery delivery;
  private final AttemptStarter starter;
  private final List<Attempt> active = new ArrayList<>();
  private RequestShape shape;
  private int broken;
  private boolean mayHaveRun;
  private String reason = "no endpoint can take the request now";

  LiveRun(LiveServiceParts parts, LiveRequest request, LiveCall call, AnswerSink sink) {
    this.parts = parts;
    this.request = request;
    this.call = call;
    this.sink = sink;
    this.shape = request.shape();
    this.delivery = new Delivery(sink, request.deterministic() && shape.idempotent());
    this.starter = new AttemptStarter(parts, request, call);
  }

  /** Serves the request to its end. */
  void serve() throws IOException, InterruptedException {
    try {
      boolean more = startNext();
      while (more) {
        LiveEvent event = call.next(request.deadlineNanos(), parts.clock());
        if (event == null) {
          mayHaveRun = true;
          reason = "deadline passed";
          break;
        }
        if (event instanceof LiveEvent.CallerGone) {
          parts.log().log(LogEvent.CALLER_GONE, EventField.of("request", request.id()));
          throw new IOException("caller went away");
        }
        Optional<Attempt> attempt = find(event.attempt());
        if (attempt.isEmpty()) {
          // The attempt was given up before; what still comes from it is not part of the answer.
          continue;
        }
        if (event instanceof LiveEvent.Whole whole && isAnswer(attempt.get(), whole)) {
          return;
        }
        more = take(attempt.get(), event);
      }
    } finally {
      active.forEach(Attempt::close);
    }
    fail();
  }

  private Optional<Attempt> find(int number) {
    return active.stream().filter(attempt -> attempt.number() == number).findFirst();
  }

  // -----------------------------------------------------------------------

  /** Takes an event that does not end the answer; returns whether an attempt is active. */
  private boolean take(Attempt attempt, LiveEvent event) throws IOException {
    if (event instanceof LiveEvent.Head received) {
      attempt.headReceived(received.head());
      return true;
    }
    if (event instanceof LiveEvent.Data data) {
      attempt.eventReceived();
      return delivery.event(data.data()) || diverged(attempt);
    }
    EngineFailure failure =
        event instanceof LiveEvent.Failed failed
            ? failed.failure()
            : new EngineFailure.Broken("the endpoint can't continue the stream");
    return failed(attempt, failure);
  }

  private boolean isAnswer(Attempt attempt, LiveEvent.Whole whole) throws IOException {
    boolean refusedResume = attempt.isResumed() && attempt.head().status() != 200;
    return !refusedResume && delivery.whole(attempt.head(), whole.body());
  }

  private boolean diverged(Attempt attempt) {
    giveUp(attempt);
    reason = "the restarted answer differs from the part already sent";
    return false;
  }

  // -----------------------------------------------------------------------

  private boolean startNext() {
    Optional<Attempt> next = starter.start(shape);
    next.ifPresent(active::add);
    return next.isPresent();
  }

  private void giveUp(Attempt attempt) {
    active.remove(attempt);
    attempt.close();
  }

  /** Decides after a failed attempt; returns whether an attempt is active. */
  private boolean failed(Attempt attempt, EngineFailure failure) {
    giveUp(attempt);
    note(attempt, failure);
    boolean notRun = failure instanceof EngineFailure.NotRun;
    shape = shape.withExcluded(attempt.placement().endpoint());
    if (!notRun) {
      mayHaveRun = true;
      reason = failure.reason();
      broken++;
    }
    if (!active.isEmpty()) {
      return true;
    }
    if (!shape.idempotent()) {
      // A draining answer means that bytes were sent, so that not even then a second try is made.
      return failure instanceof EngineFailure.NotRun refused && !refused.draining() && startNext();
    }
    if (broken >= ATTEMPTS) {
      return false;
    }
    if (!notRun && !attempt.isResumed() && !delivery.isEmpty() && isGeneration()) {
      active.add(starter.resume(attempt));
      return true;
    }
    return delivery.restart() && startNext();
  }

  private boolean isGeneration() {
    return request.path().startsWith("/v1/completions")
        || request.path().startsWith("/v1/chat/completions");
  }

  private void note(Attempt attempt, EngineFailure failure) {
    parts.log().log(
        LogEvent.ENDPOINT_FAILED,
        EventField.of("endpoint", attempt.placement().endpoint()),
        EventField.of("request", request.id()),
        EventField.of("reason", failure.reason()));
    if (failure instanceof EngineFailure.NotRun notRun && notRun.draining()) {
      parts.log().log(
          LogEvent.ENDPOINT_DRAINING, EventField.of("endpoint", attempt.placement().endpoint()));
      parts.endpoints().markDraining(attempt.placement().endpoint(), attempt.address());
    } else {
      parts.endpoints().markFailed(attempt.placement().endpoint(), attempt.address());
    }
  }

  private void fail() throws IOException {
    LiveFailure failure =
        mayHaveRun
            ? LiveFailure.unknown("endpoint_failed", reason)
            : LiveFailure.notRun(503, "no_endpoint", "no endpoint can take the request now");
    parts.log().log(
        LogEvent.REQUEST_FAILED,
        EventField.of("request", request.id()),
        EventField.of("work", failure.work().toText()),
        EventField.of("reason", failure.message()));
    sink.fail(failure);
  }
}
