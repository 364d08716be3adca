package org.sedgeroad.route;

import java.util.OptionalLong;

/** Decides when a second attempt runs beside the first one. Thread-safe. */
public interface HedgePolicy {

  /** Counts a request and returns the wait for its first event, empty for no second attempt. */
  OptionalLong delayNanos(RequestShape request, long nowNanos);

  /** Takes a second attempt out of the budget; returns false if the budget is used up. */
  boolean tryHedge();

  /** Notes the time from the sending of a request to the first event of its answer. */
  void observeFirstEvent(RequestShape request, long elapsedNanos, long nowNanos);
}
