package org.sedgeroad.placement;

import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.ToIntFunction;

/**
 * The scheme before speeds were observed, a baseline: a free slot, then the slot of a batch item,
 * then a short queue inside an endpoint, at random in proportion to the slots that can be had.
 */
final class SlotWeightedPlacement {
  /**
   * Number of live requests that may be queued inside one endpoint: with 8 slots that are held for
   * 0.7 s each, a slot becomes free every 0.09 s, so that two requests wait less than an objective
   * of 0.3 s.
   */
  static final int MAXIMUM_QUEUE_IN_ENDPOINT = 2;

  /**
   * Weight of an endpoint in another region, relative to one in this region with as many slots: its
   * answers take tens of milliseconds longer and use the link between the regions.
   */
  private static final double OTHER_REGION_WEIGHT = 0.1;

  /** Weight of an endpoint in another failure domain of this region. */
  private static final double OTHER_DOMAIN_WEIGHT = 0.9;

  private SlotWeightedPlacement() {}

  /**
   * Returns the endpoint for a request, empty if the request has to wait.
   *
   * <p>All instances choose by counts that are some tens of milliseconds old. If each one chose the
   * least loaded endpoint, the requests of this time would all arrive there; so the choice is
   * random, in proportion to the slots that can be had.
   *
   * @param loads loads of the endpoints that the request may use
   * @param deferrable whether the request is late and can wait
   * @param random source of random numbers from 0 (inclusive) to 1 (exclusive)
   */
  static Optional<LiveChoice> choose(
      List<EndpointLoad> loads, boolean deferrable, RunTimes times, DoubleSupplier random) {
    List<EndpointLoad> candidates = LivePlacement.healthy(loads);
    return weighted(candidates, SlotWeightedPlacement::unlimitedFree, random)
        .or(() -> weighted(candidates, EndpointLoad::startable, random))
        .map(load -> new LiveChoice(load.endpoint(), false))
        .or(
            () ->
                weighted(candidates, SlotWeightedPlacement::ownPreemptible, random)
                    .map(load -> new LiveChoice(load.endpoint(), true)))
        .or(
            () ->
                weighted(candidates, SlotWeightedPlacement::preemptible, random)
                    .or(() -> weighted(candidates, load -> queueRoom(load, deferrable), random))
                    .map(load -> new LiveChoice(load.endpoint(), false)));
  }

  /** Returns the number of free slots of an endpoint, 0 if it accepts a limited rate only. */
  private static int unlimitedFree(EndpointLoad load) {
    return load.isLimited() ? 0 : load.free();
  }

  /** Returns the number of own items at an endpoint that may give way to live requests. */
  private static int ownPreemptible(EndpointLoad load) {
    return Math.min(load.ownBatch(), preemptible(load));
  }

  /** Returns the number of slots that live requests may still take from items of any instance. */
  private static int preemptible(EndpointLoad load) {
    return Math.min(load.endpoint().slots() - load.live(), load.allowance());
  }

  /**
   * Returns how many more requests may be queued inside an endpoint whose slots all have live
   * requests. A deferrable request is not queued there, because a request that can still be on time
   * could not overtake it.
   */
  private static int queueRoom(EndpointLoad load, boolean deferrable) {
    int room = load.endpoint().slots() + MAXIMUM_QUEUE_IN_ENDPOINT - load.live();
    return deferrable ? 0 : Math.min(room, load.allowance());
  }

  /**
   * Returns an endpoint at random, in proportion to its room and its nearness; empty if none has
   * room.
   */
  private static Optional<EndpointLoad> weighted(
      List<EndpointLoad> loads, ToIntFunction<EndpointLoad> room, DoubleSupplier random) {
    double sum = 0;
    for (EndpointLoad load : loads) {
      sum += Math.max(0, room.applyAsInt(load)) * nearness(load);
    }
    double left = random.getAsDouble() * sum;
    EndpointLoad last = null;
    for (EndpointLoad load : loads) {
      double weight = Math.max(0, room.applyAsInt(load)) * nearness(load);
      if (weight > 0) {
        last = load;
        left -= weight;
        if (left < 0) {
          return Optional.of(load);
        }
      }
    }
    return Optional.ofNullable(last);
  }

  private static double nearness(EndpointLoad load) {
    return switch (load.distance()) {
      case SAME_DOMAIN -> 1;
      case SAME_REGION -> OTHER_DOMAIN_WEIGHT;
      case OTHER_REGION -> OTHER_REGION_WEIGHT;
    };
  }
}
