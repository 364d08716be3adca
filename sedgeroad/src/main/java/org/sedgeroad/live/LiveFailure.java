package org.sedgeroad.live;

import java.time.Instant;
import java.util.Optional;
import org.sedgeroad.WorkState;

/**
 * Reason why a live request received no complete answer.
 *
 * @param status HTTP status
 * @param code stable code for programs
 * @param message description for people
 * @param workState whether the request was run
 * @param retryAt earliest time to retry, empty if unknown
 */
public record LiveFailure(
    int status, String code, String message, WorkState workState, Optional<Instant> retryAt) {

  /** Returns the failure of a request that was certainly not run. */
  public static LiveFailure notRun(int status, String code, String message) {
    return new LiveFailure(status, code, message, WorkState.NOT_RUN, Optional.empty());
  }

  /** Returns the failure, with HTTP status 502, of a request that may have been run. */
  public static LiveFailure unknown(String code, String message) {
    return new LiveFailure(502, code, message, WorkState.UNKNOWN, Optional.empty());
  }
}
