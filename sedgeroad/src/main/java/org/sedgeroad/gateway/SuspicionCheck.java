package org.sedgeroad.gateway;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sedgeroad.suspicion.CrashSeries;
import org.sedgeroad.suspicion.Suspicion;

/**
 * Decides before each attempt of one request whether it may be sent, because endpoints may have
 * crashed under requests like it. Used on the event loop.
 */
final class SuspicionCheck implements AutoCloseable {
  /**
   * Time for which a request waits for the decision whether it is sent as a trial, in milliseconds;
   * a store that is not slow answers within tens of milliseconds.
   */
  private static final long TRIAL_REQUEST_MILLIS = 250;

  private final GatewayDependencies dependencies;
  private final ClientRequest request;

  /** Keys by which the request is suspected; computed once they are needed. */
  private List<String> keys;

  /** Whether the request may be sent once although requests like it are quarantined. */
  private boolean trial;

  /** Number of the request for a trial whose result is awaited; others' results are ignored. */
  private int trialRequest;

  /** Whether the request has ended. */
  private boolean closed;

  SuspicionCheck(GatewayDependencies dependencies, ClientRequest request) {
    this.dependencies = dependencies;
    this.request = request;
  }

  /**
   * Calls one of two receivers, now or after the instance has waited for the others; none if the
   * request ends meanwhile.
   *
   * @param allowed is called if the request may be sent
   * @param quarantined receives the reason if it must not be sent
   */
  void decide(Runnable allowed, Consumer<Refusal> quarantined) {
    if (closed) {
      return;
    }
    Suspicion suspicion = suspicion();
    switch (suspicion.verdict()) {
      case CLEAR -> allowed.run();
      case AWAITING_REPORTS ->
          dependencies
              .loop()
              .scheduleAt(suspicion.decidedAtNanos(), () -> decide(allowed, quarantined));
      case QUARANTINED -> requestTrial(suspicion.key(), allowed, quarantined);
      default -> throw new IllegalStateException(suspicion.verdict().name());
    }
  }

  /** Ends the check with its request; no receiver is called any more. */
  @Override
  public void close() {
    closed = true;
  }

  /** Returns whether the request may be sent now. */
  boolean maySend() {
    return suspicion().verdict() == Suspicion.Verdict.CLEAR;
  }

  /** Returns what is known against the request as an attempt begins, which uses up a trial. */
  Map<String, CrashSeries> beginAttempt() {
    trial = false;
    return dependencies.suspicions().series(keys());
  }

  /** Allows the request to be sent as a trial again, because its attempt reached no endpoint. */
  void repeatTrial() {
    trial = true;
  }

  boolean isTrial() {
    return trial;
  }

  /** Records that an endpoint answered the request with success. */
  void recordAnswer() {
    if (!dependencies.suspicions().isEmpty()) {
      dependencies.suspicions().recordAnswer(keys());
    }
  }

  /**
   * Records that an endpoint crashed before it answered the request.
   *
   * @param endpoint name of the endpoint
   * @param atStart result of {@link #beginAttempt}
   */
  void recordCrash(String endpoint, Map<String, CrashSeries> atStart) {
    dependencies.suspicions().recordCrash(endpoint, atStart);
  }

  private Suspicion suspicion() {
    return trial || dependencies.suspicions().isEmpty()
        ? Suspicion.NONE
        : dependencies.suspicions().suspicion(keys());
  }

  private List<String> keys() {
    if (keys == null) {
      keys = dependencies.suspicions().keys(request);
    }
    return keys;
  }

  private void requestTrial(String key, Runnable allowed, Consumer<Refusal> quarantined) {
    int number = ++trialRequest;
    Consumer<Boolean> receiver =
        granted -> {
          if (number == trialRequest && !closed) {
            trialRequest++;
            trial = granted;
            if (granted) {
              allowed.run();
            } else {
              quarantined.accept(refusal(key));
            }
          }
        };
    dependencies
        .loop()
        .scheduleAt(
            dependencies.clock().deadlineAfterMillis(TRIAL_REQUEST_MILLIS),
            () -> receiver.accept(false));
    dependencies.suspicions().requestTrial(keys(), receiver);
  }

  private Refusal refusal(String key) {
    long retryAt =
        dependencies
            .clock()
            .deadlineAfterMillis(dependencies.suspicions().millisUntilTrial(keys()));
    return new Refusal(
        Refusal.Reason.NOT_RUN, "endpoints crashed under requests with " + key, retryAt);
  }
}
