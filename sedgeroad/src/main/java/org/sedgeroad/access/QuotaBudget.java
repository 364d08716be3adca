package org.sedgeroad.access;

import org.sedgeroad.placement.SharedBudget;
import org.sedgeroad.settings.QuotaSettings;

/**
 * Decides how many live requests of a workspace an instance may send now, and when a refused one
 * may come again. Pure functions.
 *
 * <p>The load that they answer: a workspace sends several times its usual rate, at a few instances
 * or at all, while instances start, end, or can't hear each other.
 *
 * <p>An instance contributes a part of the quota for as long as it has counted. The part of an
 * instance that is not heard is set aside, because it may be cut off and use it. The requests that
 * it sent before are a part of what is set aside; only those beyond it reduce what the others may
 * send.
 */
final class QuotaBudget {
  /**
   * Shortest time after which a refused client may return, in milliseconds: the time in which
   * counts reach the other instances.
   */
  static final long SHORTEST_WAIT_MILLIS = 100;

  /**
   * Part of what may be exceeded that one instance may send unreported, so that demand which moves
   * to it is not refused: five instances may begin to send at once and stay within the bound.
   */
  private static final double SUDDEN_PART = 1.0 / 5;

  /** Part of what is left that an instance may send unreported, so that less is used at the end. */
  private static final double LEFT_PART = 1.0 / 2;

  private QuotaBudget() {}

  /**
   * What an instance knows of those that may be sending.
   *
   * @param instances number of instances that may be sending, with this one
   * @param reporting number of instances whose counts are known, with this one
   * @param historyMillis sum of the times for which these have counted, each at most a window, in
   *     milliseconds
   * @param completeHistories number of those that have counted for a whole window
   */
  record Fleet(int instances, int reporting, long historyMillis, int completeHistories) {}

  /**
   * Requests of a workspace within the window.
   *
   * @param own number sent by this instance
   * @param unreported number of {@code own} that the others may not know yet
   * @param others number sent by the other instances whose counts are known
   * @param retained number sent by instances and processes that no longer report
   */
  record Sent(int own, int unreported, int others, int retained) {}

  /** Returns the number of requests that all instances together may send in a window. */
  static double total(Workspace workspace, long windowMillis) {
    return workspace.requestsPerSecond() * windowMillis / 1_000 + workspace.burst();
  }

  /** Returns the number of requests that the reporting instances together may send in a window. */
  static double known(Workspace workspace, long windowMillis, Fleet fleet, int retained) {
    double total = total(workspace, windowMillis);
    double instances = Math.max(fleet.instances(), fleet.reporting());
    double counted =
        workspace.requestsPerSecond() * fleet.historyMillis() / 1_000 / instances
            + workspace.burst() * fleet.completeHistories() / instances;
    double budget = Math.min(total, counted);
    return budget - Math.max(0, retained - (total - budget));
  }

  /**
   * Returns how many requests this instance may send now.
   *
   * <p>Until the others know of them, it may send the part of what is left that corresponds to its
   * part of what was sent lately, because even parts are too small for demand that arrives at few
   * of many instances. At least, it may send a part of what the quota may be exceeded by.
   */
  static int allowance(Workspace workspace, QuotaSettings settings, Fleet fleet, Sent sent) {
    long windowMillis = settings.windowMillis();
    double part = part(fleet, sent);
    double tolerated =
        settings.tolerance() * total(workspace, windowMillis) + settings.toleratedRequests();
    double sudden = SUDDEN_PART * tolerated;
    return SharedBudget.allowance(
        known(workspace, windowMillis, fleet, sent.retained()),
        left -> (int) Math.max(left * part, Math.min(left * LEFT_PART, sudden)),
        new SharedBudget.Sent(sent.own(), sent.others(), sent.unreported()));
  }

  /** Returns this instance's part of the requests of a workspace, from 0 to 1. */
  private static double part(Fleet fleet, Sent sent) {
    return (sent.own() + 1.0) / (sent.own() + sent.others() + Math.max(1, fleet.reporting()));
  }

  /**
   * Returns the time after which a refused client may return, in milliseconds, at most a window and
   * twice as long if many others wait.
   *
   * <p>If the requests in the window were sent evenly, as many leave it in this time as are too
   * many. Clients that return after the same wait are spread over the time in which this instance
   * can send as many requests as it has refused lately.
   *
   * @param refused number of requests that this instance has refused in the last window
   * @param random a random number from 0 (inclusive) to 1 (exclusive)
   */
  static long waitMillis(
      Workspace workspace, long windowMillis, Fleet fleet, Sent sent, int refused, double random) {
    double all = sent.own() + sent.others() + sent.retained();
    double excess =
        sent.own()
            + sent.others()
            + 1
            - Math.floor(known(workspace, windowMillis, fleet, sent.retained()));
    double room = all == 0 ? windowMillis : windowMillis * Math.max(0, excess) / all;
    double rate = workspace.requestsPerSecond() * part(fleet, sent);
    double spread = refused / rate * 1_000;
    return SHORTEST_WAIT_MILLIS
        + (long) (Math.min(windowMillis, room) + random * Math.min(windowMillis, spread));
  }
}
