package org.sedgeroad.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.sedgeroad.peer.RendezvousHashing;

/**
 * Restricts long requests to a fraction of the slots of each endpoint, but at least one slot, and
 * keeps some endpoints free of them. Other requests go to the wrapped policy unchanged.
 *
 * <p>Each instance counts only its own long requests, so the limit on slots applies per instance.
 * The endpoints kept free are chosen by rendezvous hashing, so instances of a region that have the
 * same candidates keep the same ones free.
 */
final class LongRequestLimiter implements RoutingPolicy {
  /**
   * One endpoint out of this many is kept free of long requests, and none if there are fewer. At
   * each of the others, long requests may use one slot out of this many, but at least one slot.
   */
  private static final int DIVISOR = 4;

  private final RequestCosts costs;
  private final RoutingPolicy delegate;

  LongRequestLimiter(RequestCosts costs, RoutingPolicy policy) {
    this.costs = costs;
    this.delegate = policy;
  }

  @Override
  public Optional<EndpointView> choose(
      RequestShape request, List<EndpointView> candidates, RandomGenerator random) {
    if (candidates.size() < 2 || !costs.isLong(request)) {
      return delegate.choose(request, candidates, random);
    }
    List<EndpointView> allowedLocalFirst = new ArrayList<>(allowed(request, candidates, true));
    allowedLocalFirst.addAll(allowed(request, candidates, false));
    return delegate.choose(request, allowedLocalFirst, random);
  }

  /**
   * Returns the endpoints, either the local or the remote ones, that may get a long request: those
   * below the limit or, if all have reached it, those with the fewest long requests. The result is
   * empty only if there are no candidates of that kind.
   */
  private static List<EndpointView> allowed(
      RequestShape request, List<EndpointView> candidates, boolean local) {
    List<EndpointView> views = candidates.stream().filter(view -> view.local() == local).toList();
    List<String> names = views.stream().map(view -> view.endpoint().name()).toList();
    Set<String> keptFree =
        Set.copyOf(
            RendezvousHashing.rank(request.service(), names).subList(0, names.size() / DIVISOR));
    List<EndpointView> eligible =
        views.stream().filter(view -> !keptFree.contains(view.endpoint().name())).toList();
    List<EndpointView> belowLimit =
        eligible.stream()
            .filter(view -> view.longLive() < Math.max(1, view.slots() / DIVISOR))
            .toList();
    if (!belowLimit.isEmpty()) {
      return belowLimit;
    }
    int minLongLive = eligible.stream().mapToInt(EndpointView::longLive).min().orElse(0);
    return eligible.stream().filter(view -> view.longLive() == minLongLive).toList();
  }
}
