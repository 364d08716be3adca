package org.sedgeroad.limit;

import java.time.Instant;

/** Decision on a request under the voted limits. */
public sealed interface Admission {

  /** The request is within the limits; its units have been taken from them. */
  record Admitted() implements Admission {}

  /**
   * The request would exceed a limit.
   *
   * @param limit name of the exceeded limit, as in {@link LimitKind#toText}
   * @param retryAt earliest time to try again
   */
  record OverLimit(String limit, Instant retryAt) implements Admission {}
}
