package org.sedgeroad.placement;

import java.util.List;

/**
 * Decides how many of its yielding live requests, those that are late and can wait, an instance
 * places at a time.
 *
 * <p>After an outage all clients come back to all instances within a moment, before these know what
 * the others take. Requests that are late anyway are therefore placed in rounds, by each instance
 * its part of what is free, so that engines are not overbooked and places are left for requests
 * that can still be in time.
 */
public final class YieldingPlacement {
  /**
   * Time after which a round may begin although not all other instances have reported since the
   * last one, in milliseconds; four periods of the reports.
   */
  static final long ROUND_MILLIS = 200;

  private YieldingPlacement() {}

  /**
   * Returns whether a round may begin: all other instances have shown what they took in the last
   * one, or it is long ago.
   *
   * @param heard instances that have reported since the last round
   * @param expected number of other instances
   * @param sinceNanos time since the last round, in nanoseconds
   */
  public static boolean mayBegin(int heard, int expected, long sinceNanos) {
    return heard >= expected || sinceNanos >= ROUND_MILLIS * 1_000_000L;
  }

  /**
   * Returns how many yielding requests this instance places in a round.
   *
   * @param loads the endpoints of the service
   * @param own yielding requests of this instance
   * @param others waiting requests of the instances that report
   * @param unheard instances that do not report; each is taken for one like this instance
   * @param rounding number from 0 (inclusive) to 1 (exclusive) that rounds the part at random
   */
  public static int share(
      List<EndpointLoad> loads, int own, int others, int unheard, double rounding) {
    double free =
        LivePlacement.sound(loads).stream()
            .mapToInt(load -> Math.max(0, load.endpoint().slots() - load.live()))
            .sum();
    double part = (double) own / (own * (1.0 + unheard) + others);
    return Math.min(own, (int) Math.floor(free * part + rounding));
  }
}
