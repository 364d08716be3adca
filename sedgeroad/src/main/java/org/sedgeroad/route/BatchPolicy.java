package org.sedgeroad.route;

/** Decides how many batch items may run at an endpoint that this instance owns. */
@FunctionalInterface
public interface BatchPolicy {

  /**
   * Returns the number of batch items that may be in flight at the endpoint now. If more are in
   * flight, the most recently started ones are cancelled.
   *
   * @param view snapshot of the endpoint with its request counts
   * @param nowNanos current monotonic time in nanoseconds
   */
  int allowedItems(EndpointView view, long nowNanos);
}
