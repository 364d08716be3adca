package org.sedgeroad.gateway;

import java.util.Objects;

/**
 * A service that takes a part of a route's requests.
 *
 * @param service name of the service, not null
 * @param weight part relative to the other services of the route, not negative
 */
public record WeightedService(String service, int weight) {

  /** Checks the components. */
  public WeightedService {
    Objects.requireNonNull(service);
    if (weight < 0) {
      throw new IllegalArgumentException("negative weight");
    }
  }
}
