package org.sedgeroad.route;

/**
 * Decides whether a request is sent to another region (spilled). {@link LinkBudget} decides on the
 * order in which spilled requests are sent.
 */
@FunctionalInterface
public interface SpillPolicy {

  /** Returns whether the request should be sent to the other region. */
  boolean shouldSpill(SpillEstimate estimate);
}
