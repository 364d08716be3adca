package org.sedgeroad.placement;

import java.util.Locale;
import java.util.Objects;

/**
 * Live slots that a workspace uses and asks for, compared with its fair share of the slots in use.
 *
 * @param workspace name of the workspace, not null
 * @param running number of its live requests that endpoints of any instance have
 * @param waiting number of its live requests that wait for a slot at any instance
 * @param fair its share by weight of all live requests that endpoints have, not negative
 */
public record FairShare(String workspace, int running, int waiting, double fair) {
  /**
   * Standard deviations by which the use of a workspace that sends at its usual rate varies; with
   * two of them it is taken for one that sends more in a few hundredths of the time.
   */
  private static final double DEVIATIONS = 2;

  /** Multiple of the fair share above which requests are refused. */
  private static final double REFUSED_MULTIPLE = 2;

  /**
   * Checks the components.
   *
   * @throws NullPointerException if the workspace is null
   */
  public FairShare {
    Objects.requireNonNull(workspace);
  }

  /**
   * Returns whether the workspace uses more than its fair share, beyond what the number of its
   * requests varies by: the square root of that number, and one request for a share below one slot.
   */
  public boolean isExceeded() {
    return running > fair + DEVIATIONS * Math.sqrt(fair) + 1;
  }

  /**
   * Returns whether the workspace asks for more than twice its fair share, with the requests that
   * wait because it uses its share already.
   */
  public boolean isFarExceeded() {
    return isExceeded() && running + waiting > REFUSED_MULTIPLE * fair;
  }

  /** Returns a description for logs. */
  public String describe() {
    return String.format(
        Locale.ROOT,
        "workspace %s uses %d slots, its fair share is %.1f",
        workspace,
        running,
        fair);
  }
}
