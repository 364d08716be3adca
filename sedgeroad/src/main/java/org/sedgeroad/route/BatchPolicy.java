package org.sedgeroad.route;

/** Decides how many batch items may run at an endpoint whose home is this instance. */
@FunctionalInterface
public interface BatchPolicy {

  /**
   * Returns the number of batch items that may be in flight at the endpoint now. If more are in
   * flight, the youngest are cancelled.
   *
   * @param view the endpoint with its counts
   * @param nowNanos monotonic time in nanoseconds
   */
  int allowedItems(EndpointView view, long nowNanos);
}
