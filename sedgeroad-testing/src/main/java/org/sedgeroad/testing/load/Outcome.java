package org.sedgeroad.testing.load;

/** How a live request ended for its caller. */
public enum Outcome {
  /** The whole answer to the request came. */
  WHOLE,
  /** An answer with an end marker came, but not the answer to this request. */
  WRONG,
  /** An error came in the form of the API. */
  ERROR,
  /** The connection ended without an end marker or an error. */
  CUT,
  /** No byte was sent. */
  NOT_SENT
}
