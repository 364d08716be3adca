package org.sedgeroad.placement;

import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/** Chooses the endpoint for a live request. */
@FunctionalInterface
interface LivePolicy {
  /**
   * Returns the endpoint for a request, empty if the request has to wait.
   *
   * @param loads loads of the endpoints that the request may use
   * @param deferrable whether the request is late and can wait
   * @param times times of requests of the service at an endpoint of median speed
   * @param random source of random numbers from 0 (inclusive) to 1 (exclusive)
   */
  Optional<LiveChoice> choose(
      List<EndpointLoad> loads, boolean deferrable, RunTimes times, DoubleSupplier random);
}
