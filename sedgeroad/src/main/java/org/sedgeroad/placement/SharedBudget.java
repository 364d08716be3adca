package org.sedgeroad.placement;

import java.util.function.IntUnaryOperator;

/**
 * Decides how many requests an instance may send now of a number that all instances may send
 * together within a window. The load that it answers: all instances have demand at once, and know
 * of each other's requests some tens of milliseconds late.
 *
 * <p>Each instance counts what it has sent in the window, and the counts are exchanged. An instance
 * sends while the sum of the counts is below the budget, so that the budget follows the demand. Of
 * its own requests that the others do not know yet, it may have a part of what is left, or one.
 */
public final class SharedBudget {
  private SharedBudget() {}

  /**
   * Requests sent within a window.
   *
   * @param own number sent by this instance
   * @param others number sent by the other instances whose counts are known
   * @param unreported number of {@code own} that the other instances may not know yet
   */
  public record Sent(int own, int others, int unreported) {}

  /**
   * Returns how many requests this instance may send, not negative.
   *
   * @param budget number of requests that all instances whose counts are known may send within the
   *     window
   * @param share returns the part that this instance may send unreported of a number that is left
   * @param sent what was sent in the window
   */
  public static int allowance(double budget, IntUnaryOperator share, Sent sent) {
    int left = (int) Math.floor(Math.min(budget, Integer.MAX_VALUE)) - sent.own() - sent.others();
    int unreportedLimit = Math.max(1, share.applyAsInt(left));
    return Math.max(0, Math.min(left, unreportedLimit - sent.unreported()));
  }
}
