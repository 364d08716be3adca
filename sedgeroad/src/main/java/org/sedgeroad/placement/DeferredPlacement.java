package org.sedgeroad.placement;

import java.util.List;

/**
 * Decides how many of its deferrable live requests, those that are late and can wait, an instance
 * places at a time.
 *
 * <p>After an outage all clients return to all instances at nearly the same time, before the
 * instances know which slots the others take. Requests that are late anyway are therefore placed in
 * rounds, in which each instance takes its share of the free slots, so that engines are not
 * overbooked and slots remain for requests that can still be on time.
 */
public final class DeferredPlacement {
  /**
   * Time since the last round after which the next may begin although not all other instances have
   * reported, in milliseconds; four report periods.
   */
  static final long ROUND_TIMEOUT_MILLIS = 200;

  private DeferredPlacement() {}

  /**
   * Returns whether a round may begin: all other instances have reported which slots they took in
   * the last one, or {@link #ROUND_TIMEOUT_MILLIS} have passed since then.
   *
   * @param reported number of other instances that have reported since the last round
   * @param expected number of other instances
   * @param sinceNanos time since the last round, in nanoseconds
   */
  public static boolean mayBegin(int reported, int expected, long sinceNanos) {
    return reported >= expected || sinceNanos >= ROUND_TIMEOUT_MILLIS * 1_000_000L;
  }

  /**
   * Returns how many deferrable requests this instance places in a round.
   *
   * @param loads loads of the endpoints of the service
   * @param own number of deferrable requests of this instance, positive
   * @param others number of waiting requests of the instances that report
   * @param notReporting number of instances that do not report; each is assumed to have as many
   *     requests as this instance
   * @param rounding random number from 0 (inclusive) to 1 (exclusive) that decides whether the
   *     share is rounded up or down
   * @return number of requests from 0 to {@code own}
   */
  public static int share(
      List<EndpointLoad> loads, int own, int others, int notReporting, double rounding) {
    double free =
        LivePlacement.healthy(loads).stream()
            .mapToInt(load -> Math.max(0, load.endpoint().slots() - load.live()))
            .sum();
    double ownShare = (double) own / (own * (1.0 + notReporting) + others);
    return Math.min(own, (int) Math.floor(free * ownShare + rounding));
  }
}
