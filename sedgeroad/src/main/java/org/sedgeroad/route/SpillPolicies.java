package org.sedgeroad.route;

import java.util.concurrent.TimeUnit;
import org.sedgeroad.ServiceClass;

/**
 * Factory of the policies for sending requests to another region that can be selected by name in
 * the settings.
 */
public final class SpillPolicies {
  /**
   * Batch requests whose deadline is further away than this stay in their region: the local queue
   * may shrink in the meantime, and traffic over the link is billed by volume.
   */
  private static final long MAX_BATCH_REMAINING_NANOS = TimeUnit.HOURS.toNanos(1);

  private SpillPolicies() {}

  /**
   * Returns the policy with a name from the settings.
   *
   * @throws IllegalArgumentException if the name is unknown
   */
  public static SpillPolicy named(String name) {
    return switch (name) {
      case "none" -> estimate -> false;
      case "deadline" -> SpillPolicies::spillsForDeadline;
      default -> throw new IllegalArgumentException("unknown spill policy: " + name);
    };
  }

  private static boolean spillsForDeadline(SpillEstimate estimate) {
    if (estimate.meetsDeadlineLocally()
        || estimate.remoteWaitNanos() >= estimate.localWaitNanos()) {
      return false;
    }
    if (estimate.serviceClass() == ServiceClass.LIVE) {
      // Even if both regions miss the deadline, the request ends earlier in the other one.
      return true;
    }
    return estimate.meetsDeadlineRemotely()
        && estimate.remainingNanos() <= MAX_BATCH_REMAINING_NANOS;
  }
}
