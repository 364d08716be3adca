package org.sedgeroad.route;

import java.util.OptionalLong;

/**
 * Decides when a second attempt of a request is started while the first one is still running.
 * Implementations are thread-safe.
 */
public interface HedgePolicy {

  /**
   * Counts a request and returns the time in nanoseconds to wait for its first event before a
   * second attempt is started, empty for no second attempt.
   */
  OptionalLong delayNanos(RequestShape request, long nowNanos);

  /** Takes one second attempt from the budget; returns false if the budget is used up. */
  boolean tryHedge();

  /** Records the time in nanoseconds from sending a request to the first event of its answer. */
  void observeFirstEvent(RequestShape request, long elapsedNanos, long nowNanos);
}
