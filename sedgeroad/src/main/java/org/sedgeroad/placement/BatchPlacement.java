package org.sedgeroad.placement;

import java.util.List;

/**
 * Decides how many batch items an instance starts at an endpoint, and how many it preempts there.
 *
 * <p>Items may take every free slot, because they can be preempted quickly. A live request that
 * finds no free slot preempts an item of its own instance. Other instances preempt their items as
 * soon as they receive the load report that includes the request, well within the latency objective
 * of live requests. Slots reserved for live requests would stay unused whenever the live load is
 * low.
 */
public final class BatchPlacement {
  /**
   * Number of slots that batch items leave free at an endpoint. In {@code PeakLoadSimulationTest}
   * with an eighth of the engines lost, one reserved slot makes a quarter of the items miss their
   * due time and does not improve live requests.
   */
  static final int RESERVED_SLOTS = 0;

  /** Slots that items leave to live requests, for each square root of the live requests. */
  private static final double VARIATION = 0.75;

  private BatchPlacement() {}

  /**
   * Returns how many items this instance may start at an endpoint now.
   *
   * <p>The free slots are divided among the instances in proportion to their ready items.
   *
   * @param load load of the endpoint, not null
   * @param fraction fraction of the free slots that items may take, see {@link #startableFraction}
   * @param ownReady number of ready items of this instance in a queue
   * @param allReady number of ready items of all instances in that queue; values below {@code
   *     ownReady} count as {@code ownReady}
   * @param rounding random number from 0 (inclusive) to 1 (exclusive) that decides whether the
   *     share is rounded up or down
   * @return number of items from 0 to {@code ownReady}; 0 if the endpoint is suspect
   */
  public static int allowance(
      EndpointLoad load, double fraction, int ownReady, int allReady, double rounding) {
    int free = load.startable() - RESERVED_SLOTS;
    if (load.suspect() || free <= 0 || ownReady <= 0) {
      return 0;
    }
    double share = free * fraction * ownReady / Math.max(ownReady, allReady);
    return Math.min(ownReady, (int) Math.floor(share + rounding));
  }

  /**
   * Returns the fraction of the free slots of a service that items may take.
   *
   * <p>Answers a load at which live requests take most of the slots: a slot that one live request
   * releases is needed by the next one. The number of live requests varies by about its square
   * root, so that many slots are left to them; an item that takes one would be preempted soon, and
   * a live request would wait until then.
   *
   * <p>The slots left are divided among the items of one queue. Late items get those that are left
   * over by the items of all instances that can still be on time: an instance has items of a few
   * jobs only, so that its own order says little about which of its items are urgent.
   *
   * @param loads loads of all endpoints of the service
   * @param before number of ready items of all instances that come before those of the queue
   */
  public static double startableFraction(List<EndpointLoad> loads, int before) {
    int free = 0;
    int live = 0;
    for (EndpointLoad load : loads) {
      free += load.suspect() ? 0 : Math.max(0, load.startable());
      live += load.live();
    }
    return free == 0 ? 0 : Math.max(0, free - VARIATION * Math.sqrt(live) - before) / free;
  }

  /**
   * Returns how many of its items this instance preempts at an endpoint now.
   *
   * <p>The instances with items there decide at the same time, each for its own items. Each takes
   * its share, rounded by a number that is fixed for the instance and the endpoint, so that the
   * preemptions add up to about the number of live requests without a slot.
   *
   * @param load load of the endpoint, not null
   * @param first whether this instance preempts first among those with items at the endpoint; it
   *     preempts at least one item if any is to be preempted
   * @param rounding number from 0 (inclusive) to 1 (exclusive) that decides whether the share is
   *     rounded up or down, independent of those of the other instances
   * @return number of items, not negative; 0 if the endpoint has no live requests
   */
  public static int itemsToPreempt(EndpointLoad load, boolean first, double rounding) {
    int excess = Math.min(RESERVED_SLOTS - load.free(), load.batch());
    if (load.live() == 0 || excess <= 0 || load.ownBatch() <= 0) {
      return 0;
    }
    double share = (double) excess * load.ownBatch() / load.batch();
    return Math.min(load.ownBatch(), Math.max(first ? 1 : 0, (int) Math.floor(share + rounding)));
  }
}
