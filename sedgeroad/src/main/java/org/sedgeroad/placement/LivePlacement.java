package org.sedgeroad.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses the endpoint for a live request.
 *
 * <p>A free place comes first, then the place of a batch item, then a short queue inside an
 * endpoint. If all of these are taken, the request waits in the instance.
 */
public final class LivePlacement {
  /**
   * Live requests that may wait inside one endpoint: with 8 places that are held for 0.7 s each, a
   * place becomes free every 0.09 s, so that two wait less than an objective of 0.3 s.
   */
  public static final int QUEUE_IN_ENDPOINT = 2;

  /** Load, as a part of the places, that is accepted to stay in the region. */
  private static final double OTHER_REGION_PENALTY = 0.2;

  /** Load, as a part of the places, that is accepted to stay in the failure domain. */
  private static final double OTHER_DOMAIN_PENALTY = 0.02;

  private LivePlacement() {}

  /**
   * Returns the choice, empty if the request has to wait.
   *
   * @param loads the endpoints of the service that the request may use
   * @param yields whether the request is late and can wait
   */
  public static Optional<LiveChoice> choose(List<EndpointLoad> loads, boolean yields) {
    List<EndpointLoad> candidates = sound(loads);
    return best(candidates, load -> load.free() > 0, false)
        .or(() -> best(candidates, LivePlacement::hasPreemptibleItem, true))
        .or(() -> best(candidates, load -> hasRoom(load, yields), false));
  }

  private static boolean hasPreemptibleItem(EndpointLoad load) {
    return load.ownBatch() > 0 && load.live() < load.endpoint().slots();
  }

  /**
   * Items of other instances give way as soon as these learn of the request. A request that yields
   * does not queue inside an endpoint, where one that is in time could not overtake it.
   */
  private static boolean hasRoom(EndpointLoad load, boolean yields) {
    return load.live() < load.endpoint().slots() + (yields ? 0 : QUEUE_IN_ENDPOINT);
  }

  /** Returns the endpoints that did not fail lately, all of them if each did. */
  static List<EndpointLoad> sound(List<EndpointLoad> loads) {
    List<EndpointLoad> sound = loads.stream().filter(load -> !load.suspect()).toList();
    return sound.isEmpty() ? loads : sound;
  }

  private static Optional<LiveChoice> best(
      List<EndpointLoad> loads, Predicate<EndpointLoad> condition, boolean preempt) {
    return loads.stream()
        .filter(condition)
        .min(Comparator.comparingDouble(LivePlacement::score))
        .map(load -> new LiveChoice(load.endpoint(), preempt, !preempt && load.free() <= 0));
  }

  private static double score(EndpointLoad load) {
    // Batch items count less than live requests, because they can be moved.
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
