package org.sedgeroad.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses the endpoint for a live request.
 *
 * <p>A free slot is preferred, then the slot of a batch item of this instance, then a short queue
 * inside an endpoint. If none of these is available, the request waits in the instance.
 */
public final class LivePlacement {
  /**
   * Number of live requests that may be queued inside one endpoint: with 8 slots that are held for
   * 0.7 s each, a slot becomes free every 0.09 s, so that two requests wait less than an objective
   * of 0.3 s.
   */
  public static final int MAXIMUM_QUEUE_IN_ENDPOINT = 2;

  /** Additional load, as a fraction of the slots, that is accepted to stay in the region. */
  private static final double OTHER_REGION_PENALTY = 0.2;

  /**
   * Additional load, as a fraction of the slots, that is accepted to stay in the failure domain.
   */
  private static final double OTHER_DOMAIN_PENALTY = 0.02;

  private LivePlacement() {}

  /**
   * Returns the endpoint for a request, empty if the request has to wait.
   *
   * @param loads loads of the endpoints that the request may use
   * @param deferrable whether the request is late and can wait
   */
  public static Optional<LiveChoice> choose(List<EndpointLoad> loads, boolean deferrable) {
    List<EndpointLoad> candidates = healthy(loads);
    return leastLoaded(candidates, load -> load.free() > 0, false)
        .or(() -> leastLoaded(candidates, LivePlacement::hasPreemptibleItem, true))
        .or(() -> leastLoaded(candidates, load -> hasCapacity(load, deferrable), false));
  }

  private static boolean hasPreemptibleItem(EndpointLoad load) {
    return load.ownBatch() > 0 && load.live() < load.endpoint().slots();
  }

  /**
   * Returns whether an endpoint has a slot without a live request, or room in its queue. An item of
   * another instance in such a slot is preempted as soon as that instance receives the report of
   * the request. A deferrable request is not queued behind live requests inside an endpoint,
   * because a request that can still be on time could not overtake it there.
   */
  private static boolean hasCapacity(EndpointLoad load, boolean deferrable) {
    return load.live() < load.endpoint().slots() + (deferrable ? 0 : MAXIMUM_QUEUE_IN_ENDPOINT);
  }

  /** Returns the endpoints that are not suspect, or all of them if each one is. */
  static List<EndpointLoad> healthy(List<EndpointLoad> loads) {
    List<EndpointLoad> healthy = loads.stream().filter(load -> !load.suspect()).toList();
    return healthy.isEmpty() ? loads : healthy;
  }

  private static Optional<LiveChoice> leastLoaded(
      List<EndpointLoad> loads, Predicate<EndpointLoad> condition, boolean preempt) {
    return loads.stream()
        .filter(condition)
        .min(Comparator.comparingDouble(LivePlacement::score))
        .map(load -> new LiveChoice(load.endpoint(), preempt, !preempt && load.free() <= 0));
  }

  private static double score(EndpointLoad load) {
    // Batch items count less than live requests, because they can be preempted.
    double occupied = load.live() + 0.5 * load.batch();
    double penalty =
        switch (load.distance()) {
          case SAME_DOMAIN -> 0;
          case SAME_REGION -> OTHER_DOMAIN_PENALTY;
          case OTHER_REGION -> OTHER_REGION_PENALTY;
        };
    return occupied / Math.max(1, load.endpoint().slots()) + penalty;
  }
}
