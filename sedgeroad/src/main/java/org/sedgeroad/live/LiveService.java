package org.sedgeroad.live;

import java.io.IOException;
import java.util.Optional;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.WorkState;
import org.sedgeroad.limit.Admission;
import org.sedgeroad.route.CrashVerdict;
import org.sedgeroad.route.RequestShape;

/**
 * Serves live requests: checks limits and claims, places requests at endpoints, retries where that
 * is allowed, and passes the answers to the callers.
 *
 * <p>Thread-safe. Each request is served by one worker thread.
 */
public final class LiveService {
  private final LiveServiceDependencies dependencies;

  /** Creates a service. */
  public LiveService(LiveServiceDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /**
   * Serves one request and returns when its answer has ended. Failures of the request itself are
   * passed to the sink.
   *
   * @throws IOException if the caller has disconnected
   * @throws InterruptedException if the thread is interrupted
   */
  public void serve(LiveRequest request, LiveEventQueue eventQueue, AnswerSink sink)
      throws IOException, InterruptedException {
    RequestShape shape = request.shape();
    long now = dependencies.clock().nanos();
    if (dependencies.crashReportExchange().detector().verdict(shape.fingerprint(), now)
        == CrashVerdict.QUARANTINED) {
      sink.fail(
          LiveFailure.notRun(
              422,
              "quarantined",
              "the request " + shape.fingerprint() + " crashed two endpoints and is refused"));
      return;
    }
    Admission admission =
        dependencies.limits().admit(shape.member(), ServiceClass.LIVE, shape.cost());
    if (admission instanceof Admission.OverLimit over) {
      sink.fail(
          new LiveFailure(
              429,
              "limit_exceeded",
              "the voted limit " + over.limit() + " of " + shape.member() + " is used up",
              WorkState.NOT_RUN,
              Optional.of(over.retryAt())));
      return;
    }
    Optional<LiveFailure> refusal = dependencies.claims().claim(request);
    if (refusal.isPresent()) {
      sink.fail(refusal.get());
      return;
    }
    new LiveRun(dependencies, request, eventQueue, sink).serve();
  }
}
