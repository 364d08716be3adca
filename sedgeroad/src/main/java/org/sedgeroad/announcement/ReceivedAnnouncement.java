package org.sedgeroad.announcement;

import java.util.Objects;
import java.util.OptionalDouble;

/**
 * Result of decoding what an endpoint announces about itself in one answer.
 *
 * @param requestsPerSecond rate that the endpoint accepts, {@link Announcement#UNLIMITED} if it
 *     states none; empty if nothing can be concluded, because the answer does not belong to the
 *     request or its rate is not valid; not null
 * @param leaving whether the endpoint states that it is leaving
 * @param invalidHeaders number of headers that are ignored because they are not valid
 */
public record ReceivedAnnouncement(
    OptionalDouble requestsPerSecond, boolean leaving, int invalidHeaders) {
  /** The result for an answer from which nothing can be concluded. */
  public static final ReceivedAnnouncement UNKNOWN =
      new ReceivedAnnouncement(OptionalDouble.empty(), false, 0);

  /**
   * Checks the components.
   *
   * @throws NullPointerException if the rate is null
   */
  public ReceivedAnnouncement {
    Objects.requireNonNull(requestsPerSecond);
  }
}
