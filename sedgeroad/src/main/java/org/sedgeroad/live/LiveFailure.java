package org.sedgeroad.live;

import java.time.Instant;
import java.util.Optional;
import org.sedgeroad.WorkState;

/**
 * Why a live request got no whole answer.
 *
 * @param status HTTP status
 * @param code stable code for programs
 * @param message description for people
 * @param work whether the work ran
 * @param retryAt earliest time for the next try, empty if unknown
 */
public record LiveFailure(
    int status, String code, String message, WorkState work, Optional<Instant> retryAt) {

  /** Returns a refusal of work that did not run. */
  public static LiveFailure notRun(int status, String code, String message) {
    return new LiveFailure(status, code, message, WorkState.NOT_RUN, Optional.empty());
  }

  /** Returns a failure of work that may have run. */
  public static LiveFailure unknown(String code, String message) {
    return new LiveFailure(502, code, message, WorkState.UNKNOWN, Optional.empty());
  }
}
