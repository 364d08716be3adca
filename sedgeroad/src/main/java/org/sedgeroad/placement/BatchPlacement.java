package org.sedgeroad.placement;

import java.util.List;
import java.util.Optional;

/**
 * Decides how many batch items an instance starts at an endpoint, and how many it preempts there.
 *
 * <p>Items may take every free slot, because they can be preempted quickly. A live request that
 * finds no free slot preempts an item of its own instance. Other instances preempt their items soon
 * after they receive the load report that includes the request, within the latency objective of
 * live requests. Slots reserved for live requests would stay unused whenever the live load is low.
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

  /**
   * Factor by which the ready items take longer to get slots than if they could use each free slot
   * at once: while they wait for a run that is worthwhile, more items arrive. With a factor of one,
   * fewer items are on time than without a forecast when an eighth of the engines is lost.
   */
  private static final double BACKLOG_FACTOR = 3;

  /**
   * Run for which it is worthwhile to start an item, in nanoseconds: half of a trough of 3.8 s, so
   * that an item of 4 to 5 s needs two or three runs when each of them is preempted.
   */
  private static final long WORTHWHILE_RUN_NANOS = 1_900_000_000L;

  /**
   * Power of the number of free slots by which an endpoint is chosen for an item: one with four of
   * eight slots free is chosen 64 times as often as one with its last slot free.
   */
  private static final double FREE_SLOTS_EXPONENT = 3;

  /**
   * Saved time from which an endpoint is chosen 2.7 times as often for an item, in milliseconds,
   * and no more often for a longer one: free slots matter more to an item than a later first event.
   */
  private static final double TIE_BREAKER_MILLIS = 30;

  /**
   * Time for which one request may be queued inside an endpoint before an item is preempted for it,
   * in nanoseconds: half of an objective of 0.3 s, so that the request is still on time. Live
   * requests hold a slot for 0.8 s, so that in most cases one of eight becomes free meanwhile.
   */
  static final long TOLERATED_QUEUE_NANOS = 150_000_000L;

  private BatchPlacement() {}

  /**
   * Returns how many items of a queue this instance may start at some endpoints now.
   *
   * <p>The free slots are divided among the instances in proportion to their ready items.
   *
   * @param loads loads of the endpoints, not null
   * @param fraction fraction of the free slots that items may take, see {@link #startableFraction}
   * @param ownReady number of ready items of this instance in a queue
   * @param allReady number of ready items of all instances in that queue; values below {@code
   *     ownReady} count as {@code ownReady}
   * @param rounding random number from 0 (inclusive) to 1 (exclusive) that decides whether the
   *     share is rounded up or down
   * @return number of items from 0 to {@code ownReady}; suspect endpoints have no slots
   */
  public static int allowance(
      List<EndpointLoad> loads, double fraction, int ownReady, int allReady, double rounding) {
    int free = loads.stream().mapToInt(BatchPlacement::room).sum();
    if (free == 0 || ownReady <= 0) {
      return 0;
    }
    double share = free * fraction * ownReady / Math.max(ownReady, allReady);
    return Math.min(ownReady, (int) Math.floor(share + rounding));
  }

  /**
   * Returns the endpoint at which this instance starts its next item, empty if none has a free
   * slot.
   *
   * <p>An item in the last free slot of an endpoint is preempted as soon as another instance sends
   * a live request there at the same time. So endpoints with many free slots are preferred; the
   * choice is random, because the instances choose by counts of the same age. Endpoints that accept
   * a limited rate come first: a rate is used best by items, which are longer than live requests.
   * Of endpoints with equally many free slots, one that has the prompt cached is preferred.
   *
   * @param loads loads of the endpoints, not null
   * @param choice random number from 0 (inclusive) to 1 (exclusive)
   */
  public static Optional<EndpointLoad> choose(List<EndpointLoad> loads, double choice) {
    boolean limited = loads.stream().anyMatch(load -> load.isLimited() && room(load) > 0);
    List<EndpointLoad> candidates =
        loads.stream().filter(load -> load.isLimited() == limited && room(load) > 0).toList();
    double left = choice * candidates.stream().mapToDouble(BatchPlacement::weight).sum();
    for (EndpointLoad load : candidates) {
      left -= weight(load);
      if (left < 0) {
        return Optional.of(load);
      }
    }
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(candidates.size() - 1));
  }

  private static double weight(EndpointLoad load) {
    double saved = Math.min(1, load.saving().millis() / TIE_BREAKER_MILLIS);
    return Math.pow(room(load), FREE_SLOTS_EXPONENT) * Math.exp(saved);
  }

  /**
   * Returns whether the endpoints of a service can start an item.
   *
   * @param loads loads of all endpoints of the service that accept new work, not null
   */
  static ServiceState stateOf(List<EndpointLoad> loads) {
    if (loads.stream().allMatch(EndpointLoad::suspect)) {
      return loads.isEmpty() ? ServiceState.WITHOUT_ENDPOINTS : ServiceState.SUSPECT;
    }
    return loads.stream().anyMatch(load -> room(load) > 0) ? ServiceState.FREE : ServiceState.FULL;
  }

  /** Returns the number of slots of the endpoints that are not suspect. */
  static int slots(List<EndpointLoad> loads) {
    return loads.stream().mapToInt(load -> load.suspect() ? 0 : load.endpoint().slots()).sum();
  }

  /** Returns the number of slots of an endpoint in which items may start. */
  private static int room(EndpointLoad load) {
    return load.suspect() ? 0 : Math.max(0, load.startable() - RESERVED_SLOTS);
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
   * <p>Answers a live load with peaks that return after seconds: slots that live requests are
   * expected to need during the run of an item are left to them, because the item would only be
   * preempted again.
   *
   * @param loads loads of all endpoints of the service
   * @param before number of ready items of all instances that come before those of the queue
   * @param expectedLive largest number of live requests that is expected during the run of an item,
   *     0 if nothing is known
   */
  public static double startableFraction(
      List<EndpointLoad> loads, int before, double expectedLive) {
    int free = 0;
    int live = 0;
    for (EndpointLoad load : loads) {
      free += room(load);
      live += load.live();
    }
    double needed = Math.max(live, expectedLive);
    double left = free - (needed - live) - VARIATION * Math.sqrt(needed) - before;
    return free == 0 ? 0 : Math.max(0, left) / free;
  }

  /**
   * Returns the number of live requests that a starting item has to leave slots to, 0 if it starts
   * in any free slot.
   *
   * <p>Answers the choice between few long runs and results in time. An item waits for a run of
   * {@link #WORTHWHILE_RUN_NANOS}, or to its end, as long as it can lose a whole period of the live
   * load, beside the time in which the ready items get slots, and still be on time. Other items,
   * and late ones, take every slot.
   *
   * @param forecast forecast of the live demand for slots, not null
   * @param item urgency of the next item, not null
   * @param ready number of ready items of all instances
   * @param slots number of slots of the service
   */
  static double expectedLive(DemandForecast forecast, ItemUrgency item, int ready, int slots) {
    double slotsForItems = Math.max(1, slots - forecast.mean());
    double backlogNanos = BACKLOG_FACTOR * item.neededNanos() * (ready / slotsForItems);
    double lossNanos = forecast.periodMillis() * 1e6 + backlogNanos;
    if (!forecast.isPeriodic() || item.neededNanos() == 0 || item.slackNanos() < lossNanos) {
      return 0;
    }
    long runNanos = Math.min(item.neededNanos(), WORTHWHILE_RUN_NANOS);
    double peak = forecast.peakWithin(runNanos / 1_000_000);
    return peak + VARIATION * Math.sqrt(peak);
  }

  /**
   * Returns how many of its items this instance preempts at an endpoint now.
   *
   * <p>The instances with items there decide at the same time, each for its own items. Each takes
   * its share, rounded by a number that is fixed for the instance and the endpoint, so that the
   * preemptions add up to about the number of live requests without a slot. One request without a
   * slot is left to the next slot that becomes free, for {@link #TOLERATED_QUEUE_NANOS}: most
   * overbooked slots are due to two instances that chose the same one by counts of the same age.
   *
   * @param load load of the endpoint, not null
   * @param overbookedNanos time for which the endpoint has had more work than slots, in nanoseconds
   * @param first whether this instance preempts first among those with items at the endpoint; it
   *     preempts at least one item if any is to be preempted
   * @param rounding number from 0 (inclusive) to 1 (exclusive) that decides whether the share is
   *     rounded up or down, independent of those of the other instances
   * @return number of items, not negative; 0 if the endpoint has no live requests
   */
  public static int itemsToPreempt(
      EndpointLoad load, long overbookedNanos, boolean first, double rounding) {
    int tolerated = overbookedNanos < TOLERATED_QUEUE_NANOS ? 1 : 0;
    int excess = Math.min(RESERVED_SLOTS - load.free() - tolerated, load.batch());
    if (load.live() == 0 || excess <= 0 || load.ownBatch() <= 0) {
      return 0;
    }
    double share = (double) excess * load.ownBatch() / load.batch();
    return Math.min(load.ownBatch(), Math.max(first ? 1 : 0, (int) Math.floor(share + rounding)));
  }
}
