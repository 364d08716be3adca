package org.sedgeroad.live;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.sedgeroad.route.CrashVerdict;
import org.sedgeroad.route.RequestShape;

/** Timer for the second attempt of one live request. Used by the request's thread only. */
final class HedgeTimer {
  private static final Pattern STREAMED = Pattern.compile("\"stream\"\\s*:\\s*true");

  private final LiveServiceDependencies dependencies;
  private final LiveRequest request;
  private final AttemptStarter starter;
  private boolean pending;
  private long dueNanos;

  HedgeTimer(LiveServiceDependencies dependencies, LiveRequest request, AttemptStarter starter) {
    this.dependencies = dependencies;
    this.request = request;
    this.starter = starter;
  }

  /** Starts the timer, if the request is idempotent and streamed and the policy gives a delay. */
  void start() {
    long now = dependencies.clock().nanos();
    OptionalLong delay = dependencies.hedging().delayNanos(request.shape(), now);
    // Only streamed requests are hedged. Without streaming, nothing arrives before the complete
    // answer, and its time depends on its length, so the times of requests are not comparable.
    if (delay.isPresent() && request.shape().idempotent() && isStreamed()) {
      pending = true;
      dueNanos = now + delay.getAsLong();
    }
  }

  /**
   * Returns the monotonic time in nanoseconds at which to stop waiting for an event, at the latest
   * the given deadline.
   */
  long nextWakeNanos(long deadlineNanos) {
    return pending && dueNanos - deadlineNanos < 0 ? dueNanos : deadlineNanos;
  }

  /**
   * Starts the second attempt if it is due, only one attempt is active, the request is not
   * suspected of crashing endpoints and the budget allows it.
   */
  void startAttemptIfDue(RequestShape shape, List<Attempt> active) {
    if (!pending || !dependencies.clock().hasPassed(dueNanos)) {
      return;
    }
    pending = false;
    if (active.size() != 1) {
      return;
    }
    Attempt first = active.get(0);
    first.recordLateFirstEvent();
    boolean clear =
        dependencies
                .crashReportExchange()
                .detector()
                .verdict(shape.fingerprint(), dependencies.clock().nanos())
            == CrashVerdict.CLEAR;
    if (clear && dependencies.hedging().tryHedge()) {
      starter.startSecond(shape.withExcluded(first.placement().endpoint())).ifPresent(active::add);
    }
  }

  /** Stops the timer, because an event or a complete answer has been received. */
  void stop() {
    pending = false;
  }

  private boolean isStreamed() {
    return STREAMED.matcher(new String(request.body(), StandardCharsets.ISO_8859_1)).find();
  }
}
