package org.sedgeroad.route;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses an endpoint with low expected work in flight. Endpoints with a free slot come first, and
 * those of this region come before others unless all local queues are long.
 *
 * <p>Of the endpoints with a nearly minimal score, the policy takes the better of two random ones,
 * because all instances see about the same counts and would otherwise all choose the same endpoint
 * until the next report.
 */
final class LeastCostPolicy implements RoutingPolicy {
  private static final double NEAR_EQUAL_FACTOR = 1.25;

  /**
   * Endpoints of another region are used if at each local endpoint the queue is longer than this
   * fraction of the slots.
   */
  private static final double SPILL_QUEUE_FRACTION = 0.5;

  /**
   * Wait level of an endpoint that is slow or whose slots are all taken by live requests. The lower
   * levels are 0 for a free slot and 1 for a slot that must first be taken from a batch item.
   */
  private static final int WAIT_IN_QUEUE = 2;

  private final RequestCosts costs;
  private final String domain;

  LeastCostPolicy(RequestCosts costs, String domain) {
    this.costs = costs;
    this.domain = domain;
  }

  @Override
  public Optional<EndpointView> choose(
      RequestShape request, List<EndpointView> candidates, RandomGenerator random) {
    int size = candidates.size();
    if (size == 0) {
      return Optional.empty();
    }
    long medianCost = costs.medianOr(request.service(), request.cost());
    boolean spill = isLocalQueueLong(candidates);
    double[] scores = new double[size];
    int bestTier = Integer.MAX_VALUE;
    double bestScore = Double.MAX_VALUE;
    int[] tiers = new int[size];
    for (int index = 0; index < size; index++) {
      EndpointView view = candidates.get(index);
      tiers[index] = tier(view, spill);
      scores[index] = score(view, request, medianCost);
      if (tiers[index] < bestTier || (tiers[index] == bestTier && scores[index] < bestScore)) {
        bestTier = tiers[index];
        bestScore = scores[index];
      }
    }
    int[] nearEqual = new int[size];
    int count = 0;
    for (int index = 0; index < size; index++) {
      if (tiers[index] == bestTier && scores[index] <= bestScore * NEAR_EQUAL_FACTOR) {
        nearEqual[count++] = index;
      }
    }
    int first = nearEqual[random.nextInt(count)];
    int second = nearEqual[random.nextInt(count)];
    return Optional.of(candidates.get(scores[second] < scores[first] ? second : first));
  }

  /** Returns whether the queues of all local endpoints are too long to start a request soon. */
  private static boolean isLocalQueueLong(List<EndpointView> candidates) {
    for (EndpointView view : candidates) {
      double queue = view.live() + 1.0 - view.slots();
      if (view.local() && queue <= view.slots() * SPILL_QUEUE_FRACTION) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the tier of an endpoint by its region and by the expected wait for a slot; a lower tier
   * is always preferred. Among local endpoints that are expected to start the request without
   * queueing, those of this instance's failure domain come first at the same wait, because the
   * counts of the other instances in that domain are known.
   */
  private int tier(EndpointView view, boolean spill) {
    int wait;
    if (view.isSlow() || view.live() >= view.slots()) {
      wait = WAIT_IN_QUEUE;
    } else {
      // Batch items are preempted, but only after the endpoint's owner has been notified.
      wait = view.inFlight() < view.slots() ? 0 : 1;
    }
    if (!view.local()) {
      return spill && wait < WAIT_IN_QUEUE ? 2 * WAIT_IN_QUEUE - 1 : 2 * WAIT_IN_QUEUE + 1 + wait;
    }
    boolean ownDomain = view.endpoint().domain().equals(domain);
    return wait == WAIT_IN_QUEUE ? 2 * WAIT_IN_QUEUE : 2 * wait + (ownDomain ? 0 : 1);
  }

  private static double score(EndpointView view, RequestShape request, long medianCost) {
    double inFlight = view.cost() + (double) view.peerLive() * medianCost;
    double queue = Math.max(0, view.live() + 1.0 - view.slots());
    return (inFlight / view.slots() + request.cost() + queue * medianCost) * view.slowness();
  }
}
