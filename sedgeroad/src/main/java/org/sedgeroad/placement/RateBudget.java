package org.sedgeroad.placement;

/**
 * Decides how many requests an instance may send now to an endpoint that accepts a limited rate
 * from all instances together.
 *
 * <p>Only some instances use a limited endpoint, its senders, which share a {@link SharedBudget}.
 * What the others do not know yet is at most the sender's even share of what is left, or one
 * request, so that the senders together exceed the limit by less than their number.
 */
public final class RateBudget {
  /** Shortest window in which requests are counted, in milliseconds. */
  static final long WINDOW_MILLIS = 4_000;

  /** Longest window, that of the lowest limits, in milliseconds. */
  static final long LONGEST_WINDOW_MILLIS = 60_000;

  /** Number of senders of an endpoint that accepts next to nothing. */
  private static final int MINIMUM_SENDERS = 1;

  /** Number of senders for each request a second. */
  private static final double SENDERS_PER_RATE = 1.5;

  private RateBudget() {}

  /** Returns the number of requests in a window, at least one. */
  private static double requestsInWindow(double requestsPerSecond) {
    return Math.ceil(requestsPerSecond * WINDOW_MILLIS / 1_000);
  }

  /**
   * Returns the length of the window in which requests are counted, in milliseconds: that of a
   * whole number of requests.
   *
   * @param requestsPerSecond the limit, positive
   */
  static long windowMillis(double requestsPerSecond) {
    double exact = requestsInWindow(requestsPerSecond) / requestsPerSecond * 1_000;
    return (long) Math.min(LONGEST_WINDOW_MILLIS, Math.ceil(exact));
  }

  /**
   * Returns the number of instances that use an endpoint with a limit. More of them follow the
   * demand better, and may exceed the limit by more.
   *
   * @param requestsPerSecond the limit, positive
   * @param instances number of instances, positive
   */
  static int senders(double requestsPerSecond, int instances) {
    double wanted = MINIMUM_SENDERS + Math.floor(SENDERS_PER_RATE * requestsPerSecond);
    return (int) Math.min(instances, wanted);
  }

  /**
   * Returns how many requests this instance may send.
   *
   * @param requestsPerSecond the limit, positive
   * @param senders number of senders, positive
   * @param heard number of senders whose counts are known, with this instance. A sender that is not
   *     heard may be cut off and send its even share, which is set aside
   * @param sent what was sent in the window
   */
  static int allowance(double requestsPerSecond, int senders, int heard, SharedBudget.Sent sent) {
    double known = (double) Math.min(heard, senders) / senders;
    double budget = Math.max(1, requestsInWindow(requestsPerSecond) * known);
    return SharedBudget.allowance(budget, left -> left / Math.max(1, heard), sent);
  }
}
