package org.sedgeroad.testing.load;

import java.net.URI;

/**
 * Result of one live request as its caller saw it. No component may be null.
 *
 * @param request the request
 * @param target address that the request was sent to
 * @param outcome how the request ended
 * @param status HTTP status, 0 without an answer
 * @param work value of the error's field {@code work}, otherwise of the header {@code X-Work};
 *     empty without either
 * @param requestId value of {@code X-Request-Id}, empty without an answer
 * @param startMicros wall-clock time of the intended start, in microseconds since 1970
 * @param firstTokenNanos nanoseconds from the intended start to the first token, -1 without one
 * @param totalNanos nanoseconds from the intended start to the end
 * @param detail reason for a failure, empty for a whole answer
 */
public record LiveRecord(
    PlannedRequest request,
    URI target,
    Outcome outcome,
    int status,
    String work,
    String requestId,
    long startMicros,
    long firstTokenNanos,
    long totalNanos,
    String detail) {

  /** Returns whether the whole answer was received. */
  public boolean isWhole() {
    return outcome == Outcome.WHOLE;
  }
}
