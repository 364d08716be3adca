package org.sedgeroad.route;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses the endpoint for a live request. */
@FunctionalInterface
public interface RoutingPolicy {

  /** Returns one of the candidates, empty if no candidate should get the request. */
  Optional<EndpointView> choose(
      RequestShape request, List<EndpointView> candidates, RandomGenerator random);
}
