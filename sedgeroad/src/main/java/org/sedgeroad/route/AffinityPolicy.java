package org.sedgeroad.route;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Prefers a local endpoint that probably has the prompt's prefix in its cache, unless the endpoint
 * is slow, has no free slot or has a live load more than a quarter above the mean.
 */
final class AffinityPolicy implements RoutingPolicy {
  /**
   * A hint is ignored for an endpoint whose live load exceeds this multiple of the mean of the
   * local endpoints.
   */
  private static final double LOAD_BOUND = 1.25;

  private final PrefixHints hints;
  private final RoutingPolicy fallback;

  AffinityPolicy(PrefixHints hints, RoutingPolicy fallbackPolicy) {
    this.hints = hints;
    this.fallback = fallbackPolicy;
  }

  @Override
  public Optional<EndpointView> choose(
      RequestShape request, List<EndpointView> candidates, RandomGenerator random) {
    if (request.prefixHash() != 0) {
      List<String> names = hints.find(request.prefixHash());
      if (!names.isEmpty()) {
        double maxLive = maxLive(candidates);
        for (String name : names) {
          for (EndpointView view : candidates) {
            if (view.endpoint().name().equals(name) && isAvailable(view, maxLive)) {
              return Optional.of(view);
            }
          }
        }
      }
    }
    return fallback.choose(request, candidates, random);
  }

  private static boolean isAvailable(EndpointView view, double maxLive) {
    return view.local() && !view.isSlow() && view.live() < view.slots() && view.live() <= maxLive;
  }

  /**
   * Returns the maximum number of live requests in flight at which an endpoint may still be chosen
   * because of a hint.
   */
  private static double maxLive(List<EndpointView> candidates) {
    int live = 0;
    int count = 0;
    for (EndpointView view : candidates) {
      if (view.local()) {
        live += view.live();
        count++;
      }
    }
    return count == 0 ? 0 : LOAD_BOUND * live / count;
  }
}
