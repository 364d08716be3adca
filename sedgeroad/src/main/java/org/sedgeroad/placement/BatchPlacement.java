package org.sedgeroad.placement;

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

  private BatchPlacement() {}

  /**
   * Returns how many items this instance may start at an endpoint now.
   *
   * <p>The free slots are divided among the instances in proportion to their ready items.
   *
   * @param load load of the endpoint, not null
   * @param ownReady number of ready items of this instance
   * @param allReady number of ready items of all instances; values below {@code ownReady} count as
   *     {@code ownReady}
   * @param rounding random number from 0 (inclusive) to 1 (exclusive) that decides whether the
   *     share is rounded up or down
   * @return number of items from 0 to {@code ownReady}; 0 if the endpoint is suspect
   */
  public static int allowance(EndpointLoad load, int ownReady, int allReady, double rounding) {
    int free = load.free() - RESERVED_SLOTS;
    if (load.suspect() || free <= 0 || ownReady <= 0) {
      return 0;
    }
    double share = (double) free * ownReady / Math.max(ownReady, allReady);
    return Math.min(ownReady, (int) Math.floor(share + rounding));
  }

  /**
   * Returns how many of its items this instance preempts at an endpoint now.
   *
   * @param load load of the endpoint, not null
   * @param chosen whether this instance was chosen to preempt, out of the instances with items at
   *     the endpoint
   * @return number of items, not negative; 0 if this instance was not chosen or the endpoint has no
   *     live requests
   */
  public static int itemsToPreempt(EndpointLoad load, boolean chosen) {
    int excess = RESERVED_SLOTS - load.free();
    return chosen && load.live() > 0 ? Math.max(0, Math.min(excess, load.ownBatch())) : 0;
  }
}
