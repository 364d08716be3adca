package org.sedgeroad.placement;

/**
 * Decides how many batch items an instance starts at an endpoint, and when items leave it again.
 *
 * <p>Items may take every free place: a live request that finds none takes the place of an item,
 * and items of other instances leave as soon as these learn of it, well within a live objective.
 * Places kept free would be missing for the items in each calm time between two swings.
 */
public final class BatchPlacement {
  /**
   * Places that batch items leave free at an endpoint. In {@code SwingReplayTest} with an eighth of
   * the engines lost, one reserved place takes a quarter of the items their due time and brings
   * live requests nothing.
   */
  static final int RESERVED_PLACES = 0;

  private BatchPlacement() {}

  /**
   * Returns how many items this instance may start at an endpoint now.
   *
   * <p>Instances that see the same free places take parts in proportion to their waiting items.
   *
   * @param load the endpoint
   * @param ownReady items of this instance that could start
   * @param allReady items of all instances that could start, at least {@code ownReady}
   * @param rounding number from 0 (inclusive) to 1 (exclusive) that rounds the part at random
   */
  public static int allowance(EndpointLoad load, int ownReady, int allReady, double rounding) {
    int free = load.free() - RESERVED_PLACES;
    if (load.suspect() || free <= 0 || ownReady <= 0) {
      return 0;
    }
    double part = (double) free * ownReady / Math.max(ownReady, allReady);
    return Math.min(ownReady, (int) Math.floor(part + rounding));
  }

  /**
   * Returns how many items of this instance leave an endpoint now.
   *
   * @param load the endpoint
   * @param first whether this instance comes first among those with items at the endpoint
   */
  public static int withdrawal(EndpointLoad load, boolean first) {
    int missing = RESERVED_PLACES - load.free();
    return first && load.live() > 0 ? Math.max(0, Math.min(missing, load.ownBatch())) : 0;
  }
}
