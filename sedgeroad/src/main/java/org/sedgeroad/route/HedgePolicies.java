package org.sedgeroad.route;

import java.util.OptionalLong;

/** The hedging policies that the settings can name. */
public final class HedgePolicies {
  private HedgePolicies() {}

  /**
   * Returns the policy with a name of the settings.
   *
   * @throws IllegalArgumentException if the name is unknown
   */
  public static HedgePolicy named(String name) {
    return switch (name) {
      case "none" -> new NoHedging();
      case "budgeted" -> new BudgetedHedging();
      default -> throw new IllegalArgumentException("unknown hedging policy: " + name);
    };
  }

  /** The baseline: no second attempts. */
  private static final class NoHedging implements HedgePolicy {
    @Override
    public OptionalLong delayNanos(RequestShape request, long nowNanos) {
      return OptionalLong.empty();
    }

    @Override
    public boolean tryHedge() {
      return false;
    }

    @Override
    public void observeFirstEvent(RequestShape request, long elapsedNanos, long nowNanos) {
      // Nothing depends on it.
    }
  }
}
