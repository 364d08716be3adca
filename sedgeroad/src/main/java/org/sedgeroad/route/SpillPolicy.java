package org.sedgeroad.route;

/** Decides whether a request leaves its region. Which goes first is up to {@link LinkBudget}. */
@FunctionalInterface
public interface SpillPolicy {

  /** Returns whether the request should be sent to the other region. */
  boolean leaves(SpillChoice choice);
}
