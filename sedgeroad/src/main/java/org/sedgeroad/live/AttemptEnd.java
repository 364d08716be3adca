package org.sedgeroad.live;

import org.sedgeroad.engine.EngineFailure;

/** How one attempt at an endpoint ended. */
sealed interface AttemptEnd {

  /** The caller has the whole answer. */
  record Delivered() implements AttemptEnd {}

  /** The attempt failed; the answer is not whole. */
  record Failed(EngineFailure failure) implements AttemptEnd {}
}
