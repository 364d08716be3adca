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
  private static final long NEAR_DEADLINE_NANOS = TimeUnit.HOURS.toNanos(1);

  private SpillPolicies() {}

  /**
   * Returns the policy with a name from the settings.
   *
   * @throws IllegalArgumentException if the name is unknown
   */
  public static SpillPolicy named(String name) {
    return switch (name) {
      case "none" -> choice -> false;
      case "deadline" -> SpillPolicies::leavesForDeadline;
      default -> throw new IllegalArgumentException("unknown spill policy: " + name);
    };
  }

  private static boolean leavesForDeadline(SpillChoice choice) {
    if (choice.isLocalInTime() || choice.remoteWait() >= choice.localWait()) {
      return false;
    }
    if (choice.serviceClass() == ServiceClass.LIVE) {
      // Even if both regions miss the deadline, the request ends earlier in the other one.
      return true;
    }
    return choice.isRemoteInTime() && choice.toDeadline() <= NEAR_DEADLINE_NANOS;
  }
}
