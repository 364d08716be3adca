package org.sedgeroad.route;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/** Factory of the routing policies that can be selected by name in the settings. */
public final class RoutingPolicies {
  private RoutingPolicies() {}

  /**
   * Returns the policy with a name from the settings.
   *
   * @param name name of the policy
   * @param costs median costs of recent requests, from {@link EndpointTable#costs}
   * @param hints hints on cached prefixes
   * @throws IllegalArgumentException if the name is unknown
   */
  public static RoutingPolicy named(String name, RequestCosts costs, PrefixHints hints) {
    return named(name, costs, hints, "");
  }

  /**
   * Returns the policy with a name from the settings, for an instance in a failure domain.
   *
   * @param name name of the policy
   * @param costs median costs of recent requests, from {@link EndpointTable#costs}
   * @param hints hints on cached prefixes
   * @param domain failure domain whose endpoints are preferred, empty for none
   * @throws IllegalArgumentException if the name is unknown
   */
  public static RoutingPolicy named(
      String name, RequestCosts costs, PrefixHints hints, String domain) {
    return switch (name) {
      case "round-robin" -> roundRobin();
      case "least-outstanding" -> RoutingPolicies::leastOutstanding;
      case "least-cost" -> new LongRequestLimiter(costs, new LeastCostPolicy(costs, domain));
      case "least-cost-affinity" ->
          new LongRequestLimiter(
              costs, new AffinityPolicy(hints, new LeastCostPolicy(costs, domain)));
      default -> throw new IllegalArgumentException("unknown routing policy: " + name);
    };
  }

  private static RoutingPolicy roundRobin() {
    AtomicLong next = new AtomicLong();
    return (request, candidates, random) ->
        candidates.isEmpty()
            ? Optional.empty()
            : Optional.of(candidates.get((int) (next.getAndIncrement() % candidates.size())));
  }

  private static Optional<EndpointView> leastOutstanding(
      RequestShape request, List<EndpointView> candidates, RandomGenerator random) {
    return best(candidates, Comparator.comparingInt(EndpointView::inFlight), random);
  }

  /**
   * Returns the first candidate by the given order. Ties are broken at random, so that instances do
   * not all choose the same endpoint.
   */
  private static Optional<EndpointView> best(
      List<EndpointView> candidates, Comparator<EndpointView> order, RandomGenerator random) {
    Optional<EndpointView> best = candidates.stream().min(order);
    return best.map(
        first -> {
          List<EndpointView> equal =
              candidates.stream().filter(view -> order.compare(view, first) == 0).toList();
          return equal.get(random.nextInt(equal.size()));
        });
  }
}
