package org.sedgeroad.route;

/** The batch policies that the settings can name. */
public final class BatchPolicies {
  /** Items sent beyond the slots by the baseline, so that the engine's queue never runs empty. */
  private static final int QUEUE_FACTOR = 4;

  private BatchPolicies() {}

  /**
   * Returns the policy with a name of the settings; it is used by one thread.
   *
   * @throws IllegalArgumentException if the name is unknown
   */
  public static BatchPolicy named(String name) {
    return switch (name) {
      case "as-it-comes" -> (view, nowNanos) -> view.slots() * QUEUE_FACTOR;
      case "headroom" -> new HeadroomPolicy();
      default -> throw new IllegalArgumentException("unknown batch policy: " + name);
    };
  }
}
