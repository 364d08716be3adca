package org.sedgeroad.limit;

import java.time.Instant;

/** Decision on a request under the voted limits. */
public sealed interface Admission {

  /** The request is within the limits; its use is counted. */
  record Admitted() implements Admission {}

  /**
   * The request would exceed a limit.
   *
   * @param limit name of the limit
   * @param retryAt earliest time for the next try
   */
  record OverLimit(String limit, Instant retryAt) implements Admission {}
}
