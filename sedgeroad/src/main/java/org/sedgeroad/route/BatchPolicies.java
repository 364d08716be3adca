package org.sedgeroad.route;

/** Factory of the batch policies that can be selected by name in the settings. */
public final class BatchPolicies {
  /**
   * Items that the baseline keeps in flight for each slot, so that the engine's queue never runs
   * empty.
   */
  private static final int ITEMS_PER_SLOT = 4;

  private BatchPolicies() {}

  /**
   * Returns the policy with a name from the settings. The policy is not thread-safe.
   *
   * @throws IllegalArgumentException if the name is unknown
   */
  public static BatchPolicy named(String name) {
    return switch (name) {
      case "as-it-comes" -> (view, nowNanos) -> view.slots() * ITEMS_PER_SLOT;
      case "headroom" -> new HeadroomPolicy();
      default -> throw new IllegalArgumentException("unknown batch policy: " + name);
    };
  }
}
