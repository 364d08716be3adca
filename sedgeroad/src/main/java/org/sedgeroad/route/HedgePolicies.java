package org.sedgeroad.route;

import java.util.OptionalLong;

/** Factory of the hedging policies that can be selected by name in the settings. */
public final class HedgePolicies {
  private HedgePolicies() {}

  /**
   * Returns the policy with a name from the settings.
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

  /** Baseline policy that starts no second attempts. */
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
      // This policy does not use observed times.
    }
  }
}
