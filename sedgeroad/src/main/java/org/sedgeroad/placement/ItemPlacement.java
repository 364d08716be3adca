package org.sedgeroad.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.peer.RendezvousHashing;
import org.sedgeroad.presence.EndpointTotal;
import org.sedgeroad.presence.LoadTotals;

/**
 * Starts the batch items of this instance in free slots, and preempts them where live requests need
 * their slots. Used on the event loop.
 */
final class ItemPlacement {
  private final String instance;
  private final EndpointDirectory endpoints;
  private final DoubleSupplier random;
  private BatchSource batchSource = BatchSource.NONE;

  /**
   * Creates a placement without items.
   *
   * @param instance name of this instance
   * @param endpoints the endpoints and their load
   * @param random source of random numbers from 0 (inclusive) to 1 (exclusive)
   */
  ItemPlacement(String instance, EndpointDirectory endpoints, DoubleSupplier random) {
    this.instance = instance;
    this.endpoints = endpoints;
    this.random = random;
  }

  void setBatchSource(BatchSource source) {
    batchSource = source;
  }

  /** Preempts the items of this instance that take slots which live requests need. */
  void preemptItems() {
    LoadTotals others = endpoints.others();
    for (ServiceEndpoint endpoint : endpoints.all()) {
      if (endpoints.own(endpoint.name()).batch() > 0) {
        int preemptions =
            BatchPlacement.itemsToPreempt(
                endpoints.load(endpoint, others),
                isFirstToPreempt(endpoint, others),
                RendezvousHashing.fraction(endpoint.name(), instance));
        for (int index = 0; index < preemptions; index++) {
          preemptItem(endpoint.name());
        }
      }
    }
  }

  /** Preempts the least urgent item of this instance at an endpoint. */
  void preemptItem(String endpoint) {
    if (batchSource.preempt(endpoint)) {
      endpoints.addOccupancy(endpoint, WorkClass.BATCH, -1);
    }
  }

  /**
   * Returns whether this instance is the first to preempt items among those that have items at the
   * endpoint.
   */
  private boolean isFirstToPreempt(ServiceEndpoint endpoint, LoadTotals others) {
    String name = endpoint.name();
    String other = others.endpoints().getOrDefault(name, EndpointTotal.NONE).firstHolder();
    return RendezvousHashing.first(name, instance, other).equals(instance);
  }

  /**
   * Starts batch items unless live requests wait at any instance.
   *
   * @param candidates endpoints at which items may start
   * @param liveWaiting number of live requests that wait at this instance
   * @param reusesOwnSlot whether an item of this instance has just released a slot, which the other
   *     instances still count as taken
   */
  void startItems(List<ServiceEndpoint> candidates, int liveWaiting, boolean reusesOwnSlot) {
    LoadTotals others = endpoints.others();
    if (liveWaiting + others.liveWaiting() > 0) {
      return;
    }
    Map<BatchQueue, Integer> ownReady = new HashMap<>(batchSource.ready());
    Map<BatchQueue, Double> fractions = new HashMap<>();
    for (BatchQueue queue : ownReady.keySet()) {
      BatchQueue onTime = BatchQueue.onTime(queue.service());
      int before = queue.late() ? readyOfAll(onTime, ownReady, others) : 0;
      List<EndpointLoad> loads = endpoints.loads(queue.service(), Set.of());
      fractions.put(queue, BatchPlacement.startableFraction(loads, before));
    }
    for (ServiceEndpoint endpoint : limitedFirst(candidates)) {
      BatchQueue onTime = BatchQueue.onTime(endpoint.service());
      BatchQueue queue =
          ownReady.getOrDefault(onTime, 0) > 0 ? onTime : BatchQueue.late(endpoint.service());
      double fraction = fractions.getOrDefault(queue, 0.0);
      if (endpoints.acceptsWork(endpoint) && fraction > 0) {
        int allReady = readyOfAll(queue, ownReady, others);
        int started =
            startItemsAt(
                endpoints.load(endpoint, others),
                fraction,
                ownReady.get(queue),
                allReady,
                reusesOwnSlot);
        ownReady.merge(queue, -started, Integer::sum);
      }
    }
  }

  private List<ServiceEndpoint> limitedFirst(List<ServiceEndpoint> candidates) {
    List<ServiceEndpoint> ordered = new ArrayList<>(candidates.size());
    List<ServiceEndpoint> unlimited = new ArrayList<>(candidates.size());
    for (ServiceEndpoint endpoint : candidates) {
      (endpoints.restrictions().rate(endpoint).isPresent() ? ordered : unlimited).add(endpoint);
    }
    ordered.addAll(unlimited);
    return ordered;
  }

  private static int readyOfAll(
      BatchQueue queue, Map<BatchQueue, Integer> ownReady, LoadTotals others) {
    int reported = others.batchReady().getOrDefault(queue.reportName(), 0);
    return ownReady.getOrDefault(queue, 0) + Math.max(0, reported);
  }

  /** Starts items at an endpoint; returns their number. */
  private int startItemsAt(
      EndpointLoad load, double fraction, int ownReady, int allReady, boolean reusesOwnSlot) {
    int allowed =
        BatchPlacement.allowance(load, fraction, ownReady, allReady, random.getAsDouble());
    if (reusesOwnSlot && load.startable() > BatchPlacement.RESERVED_SLOTS) {
      allowed = Math.max(allowed, 1);
    }
    int started = 0;
    while (started < allowed && batchSource.startNext(load.endpoint())) {
      endpoints.restrictions().sent(load.endpoint());
      endpoints.addOccupancy(load.endpoint().name(), WorkClass.BATCH, 1);
      started++;
    }
    return started;
  }
}
