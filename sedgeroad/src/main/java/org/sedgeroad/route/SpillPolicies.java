package org.sedgeroad.route;

import java.util.concurrent.TimeUnit;
import org.sedgeroad.ServiceClass;

/** The spill policies that the settings can name. */
public final class SpillPolicies {
  /**
   * Batch work with more time than this stays: the local queue may shrink, and the link is billed
   * by volume.
   */
  private static final long NEAR_DEADLINE_NANOS = TimeUnit.HOURS.toNanos(1);

  private SpillPolicies() {}

  /**
   * Returns the policy with a name of the settings.
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
      // Late in the other region is still better than later here.
      return true;
    }
    return choice.isRemoteInTime() && choice.toDeadline() <= NEAR_DEADLINE_NANOS;
  }
}
