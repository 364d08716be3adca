package org.sedgeroad.entry;

import java.util.function.BooleanSupplier;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.api.StopHandler;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;

/**
 * The part of a planned stop that finishes requests and notifies peers before connections close.
 */
final class StopSequence {
  /** Time reserved before the deadline for notifying peers and closing connections. */
  private static final long CLOSE_MARGIN_MILLIS = 1_000;

  /** Time for which new requests are answered with a refusal before connections are closed. */
  private static final long LINGER_MILLIS = 100;

  private static final long POLL_MILLIS = 10;

  private final MonotonicClock clock;
  private final EventLog log;

  StopSequence(MonotonicClock clock, EventLog log) {
    this.clock = clock;
    this.log = log;
  }

  /**
   * Runs all steps up to, but not including, the closing of the connections.
   *
   * @param requestHandler handler of the callers' requests
   * @param noticeMillis time for the load balancer to notice that the instance is not ready, in
   *     milliseconds
   * @param timeoutMillis longest duration of the whole stop in milliseconds
   * @param releaseWork finishes and releases batch work; may block past the deadline
   * @param announceLeaving notifies the peers
   */
  void run(
      StopHandler requestHandler,
      long noticeMillis,
      long timeoutMillis,
      Runnable releaseWork,
      Runnable announceLeaving) {
    long deadline = clock.deadlineAfterMillis(timeoutMillis - CLOSE_MARGIN_MILLIS);
    requestHandler.closeConnections();
    waitUntil(() -> false, clock.deadlineAfterMillis(Math.min(noticeMillis, timeoutMillis)));
    Thread release = new Thread(releaseWork, "release-work");
    release.setDaemon(true);
    release.start();
    waitUntil(() -> requestHandler.activeRequests() == 0 && !release.isAlive(), deadline);
    if (requestHandler.activeRequests() > 0 || release.isAlive()) {
      log.log(
          LogEvent.STOP_DEADLINE_PASSED,
          EventField.of("requests", requestHandler.activeRequests()),
          EventField.of("batch_released", !release.isAlive()));
    }
    requestHandler.refuseRequests();
    announceLeaving.run();
    waitUntil(() -> false, clock.deadlineAfterMillis(LINGER_MILLIS));
    // A request may have started between the last count and the refusal.
    waitUntil(() -> requestHandler.activeRequests() == 0, deadline);
  }

  private void waitUntil(BooleanSupplier condition, long deadlineNanos) {
    while (!condition.getAsBoolean() && !clock.hasPassed(deadlineNanos)) {
      try {
        Thread.sleep(POLL_MILLIS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
