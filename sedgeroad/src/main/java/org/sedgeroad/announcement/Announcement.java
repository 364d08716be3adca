package org.sedgeroad.announcement;

/**
 * What an endpoint announces about itself in an answer. Immutable.
 *
 * @param requestsPerSecond rate that the endpoint accepts from all instances together, positive;
 *     {@link #UNLIMITED} if it states none
 * @param leaving whether the endpoint is about to stop and must not get new requests
 */
public record Announcement(double requestsPerSecond, boolean leaving) {
  /** Rate of an endpoint that states no limit. */
  public static final double UNLIMITED = Double.POSITIVE_INFINITY;

  /** The announcement of an endpoint that states nothing. */
  public static final Announcement NONE = new Announcement(UNLIMITED, false);

  /**
   * Checks the rate.
   *
   * @throws IllegalArgumentException if the rate is not positive
   */
  public Announcement {
    if (!(requestsPerSecond > 0)) {
      throw new IllegalArgumentException("rate " + requestsPerSecond);
    }
  }

  /** Returns whether the endpoint states a rate. */
  public boolean isLimited() {
    return requestsPerSecond != UNLIMITED;
  }
}
