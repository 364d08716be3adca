package org.sedgeroad.testing.load;

import java.net.URI;

/**
 * What a caller saw of one live request.
 *
 * @param request the request
 * @param target address that the request was sent to
 * @param outcome how it ended
 * @param status HTTP status, 0 without an answer
 * @param work value of the error's {@code work}, empty without one
 * @param requestId value of {@code X-Request-Id}, empty without an answer
 * @param startMicros intended start, wall clock in microseconds since 1970
 * @param firstTokenNanos time from the intended start to the first token, -1 without one
 * @param totalNanos time from the intended start to the end
 * @param detail reason of a failure, else empty
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

  /** Returns whether the whole answer came. */
  public boolean isWhole() {
    return outcome == Outcome.WHOLE;
  }
}
