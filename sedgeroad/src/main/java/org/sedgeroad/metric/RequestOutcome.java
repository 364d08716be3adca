package org.sedgeroad.metric;

import java.util.Locale;

/** The outcome of a live request as its caller sees it. */
public enum RequestOutcome {
  /** The caller received a whole answer. */
  DONE,
  /** The endpoint answered with a status of 500 or more. */
  ENDPOINT_ERROR,
  /** The answer failed after an endpoint may have started the work. */
  FAILED,
  /** Refused because a voted limit is used up; the work did not run. */
  LIMIT,
  /** Refused because all workers are busy; the work did not run. */
  QUEUE,
  /** Refused for another reason; the work did not run. */
  REFUSED,
  /** The caller closed its connection. */
  CALLER_GONE;

  /** Returns the value used in metric labels, for example {@code endpoint_error}. */
  public String toText() {
    return name().toLowerCase(Locale.ROOT);
  }
}
