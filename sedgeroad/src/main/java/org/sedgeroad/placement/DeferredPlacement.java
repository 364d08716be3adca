package org.sedgeroad.placement;

import java.util.List;

/**
 * Decides when an instance places deferrable live requests, and how many. A live request is
 * deferrable if it is late and can wait (see {@link LiveDemand#isDeferrable}).
 *
 * <p>After an outage all clients return to all instances at nearly the same time, before the
 * instances have received reports of the slots that the others take. Deferrable requests are
 * therefore placed in rounds; in a round, each instance takes only its share of the free slots.
 * This prevents overbooked engines and leaves slots to requests that can still be on time.
 */
public final class DeferredPlacement {
  /**
   * Time after the last round at which the next may begin even if the instances have not exchanged
   * their loads since, in milliseconds.
   */
  static final long ROUND_TIMEOUT_MILLIS = 200;

  private DeferredPlacement() {}

  /**
   * Returns whether a round may begin: since the last round, the instances have exchanged the slots
   * that they use, or {@link #ROUND_TIMEOUT_MILLIS} have passed.
   *
   * @param exchanged whether the instances have exchanged their loads since the last round
   * @param sinceNanos time since the last round, in nanoseconds
   */
  public static boolean mayBegin(boolean exchanged, long sinceNanos) {
    return exchanged || sinceNanos >= ROUND_TIMEOUT_MILLIS * 1_000_000L;
  }

  /**
   * Returns how many deferrable requests this instance places in a round: its share of the free
   * slots, and what it may send to endpoints with a limited rate, which is its share already.
   *
   * @param loads loads of the endpoints of the service
   * @param own number of deferrable requests of this instance, positive
   * @param others number of live requests that wait at the other instances that report
   * @param notReporting number of instances that do not report; each is assumed to have as many
   *     requests as this instance
   * @param rounding random number from 0 (inclusive) to 1 (exclusive) that decides whether the
   *     share is rounded up or down
   * @return number of requests from 0 to {@code own}
   */
  public static int share(
      List<EndpointLoad> loads, int own, int others, int notReporting, double rounding) {
    double free = 0;
    double allowed = 0;
    for (EndpointLoad load : LivePlacement.healthy(loads)) {
      int room = Math.max(0, load.endpoint().slots() - load.live());
      if (load.isLimited()) {
        allowed += Math.min(room, load.allowance());
      } else {
        free += room;
      }
    }
    double ownShare = (double) own / (own * (1.0 + notReporting) + others);
    return Math.min(own, (int) Math.floor(free * ownShare + allowed + rounding));
  }
}
