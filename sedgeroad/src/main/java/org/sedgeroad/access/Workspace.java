package org.sedgeroad.access;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * A group of callers that share keys, limits and jobs. Its keys are not part of it, because they
 * must not appear in logs.
 *
 * @param name unique name, not null
 * @param priority priority of its live requests, 0 is the highest; empty for that of the route
 * @param requestsPerSecond limit on its live requests over all instances, 0 for no limit
 * @param burst number of requests beyond the rate that it may send at once
 */
public record Workspace(String name, OptionalInt priority, double requestsPerSecond, double burst) {

  /**
   * Checks the components.
   *
   * @throws NullPointerException if an object is null
   * @throws IllegalArgumentException if the name is empty, or a number is negative or not finite
   */
  public Workspace {
    Objects.requireNonNull(name);
    Objects.requireNonNull(priority);
    if (name.isEmpty()) {
      throw new IllegalArgumentException("the name of the workspace is empty");
    }
    requireAmount(name, "rate", requestsPerSecond);
    requireAmount(name, "burst", burst);
  }

  private static void requireAmount(String name, String what, double value) {
    if (!(value >= 0) || Double.isInfinite(value)) {
      throw new IllegalArgumentException("workspace " + name + ": " + what + " " + value);
    }
  }

  /** Returns whether the workspace has a limit on its requests. */
  public boolean isLimited() {
    return requestsPerSecond > 0;
  }

  /** Returns its weight when capacity is shared: the rate if it has one, otherwise 1. */
  public double weight() {
    return isLimited() ? requestsPerSecond : 1;
  }
}
