package org.sedgeroad.testing.load;

/** How a live request ended for its caller. */
public enum Outcome {
  /** The whole answer to the request was received. */
  WHOLE,
  /** An answer with an end marker was received, but its text is not the answer to this request. */
  WRONG,
  /** The answer was an error or contained one. */
  ERROR,
  /**
   * The exchange failed after the request may have been sent, or the answer ended without an end
   * marker or an error.
   */
  CUT,
  /** The request failed before any byte of it was sent. */
  NOT_SENT
}
