package org.sedgeroad.gateway;

import java.util.Objects;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service name of the service, not null
 * @param weight share relative to the other services of the route, not negative
 */
public record WeightedService(String service, int weight) {

  /**
   * Checks the components.
   *
   * @throws NullPointerException if the name is null
   * @throws IllegalArgumentException if the weight is negative
   */
  public WeightedService {
    Objects.requireNonNull(service);
    if (weight < 0) {
      throw new IllegalArgumentException("negative weight");
    }
  }
}
