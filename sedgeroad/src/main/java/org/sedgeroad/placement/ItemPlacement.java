package org.sedgeroad.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;
import org.sedgeroad.gateway.PromptPrefix;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.peer.RendezvousHashing;
import org.sedgeroad.presence.EndpointTotal;
import org.sedgeroad.presence.LoadTotals;

/**
 * Starts the batch items of this instance in free slots, and preempts them where live requests need
 * their slots. Used on the event loop.
 */
final class ItemPlacement {
  /**
   * Time between two observations of the live demand in nanoseconds: two for each sample of the
   * forecast. The cost of each grows with the number of endpoints.
   */
  private static final long OBSERVATION_NANOS = DemandForecast.SAMPLE_MILLIS * 1_000_000L / 2;

  private final String instance;
  private final EndpointDirectory endpoints;
  private final DoubleSupplier random;
  private final Map<String, DemandHistory> demands = new HashMap<>();

  /** Times since when endpoints with own items have more work than slots, in nanoseconds. */
  private final Map<String, Long> overbookedSince = new HashMap<>();

  private long lastObservedNanos;
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

  /**
   * Preempts the items of this instance that take slots which live requests need.
   *
   * @param nowNanos monotonic time in nanoseconds
   */
  void preemptItems(long nowNanos) {
    LoadTotals others = endpoints.others();
    for (ServiceEndpoint endpoint : endpoints.all()) {
      String name = endpoint.name();
      if (endpoints.own(name).batch() == 0) {
        overbookedSince.remove(name);
        continue;
      }
      EndpointLoad load = endpoints.load(endpoint, others);
      if (load.free() >= 0) {
        overbookedSince.remove(name);
        continue;
      }
      long overbookedNanos = nowNanos - overbookedSince.computeIfAbsent(name, key -> nowNanos);
      int preemptions =
          BatchPlacement.itemsToPreempt(
              load,
              overbookedNanos,
              isFirstToPreempt(endpoint, others),
              RendezvousHashing.fraction(name, instance));
      for (int index = 0; index < preemptions; index++) {
        preemptItem(name);
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
      fractions.put(
          queue, startableFraction(queue.service(), before, readyOfAll(queue, ownReady, others)));
    }
    Map<String, List<ServiceEndpoint>> byService =
        candidates.stream()
            .filter(endpoints::acceptsWork)
            .collect(Collectors.groupingBy(ServiceEndpoint::service));
    byService.forEach(
        (service, usable) -> {
          BatchQueue onTime = BatchQueue.onTime(service);
          BatchQueue queue =
              ownReady.getOrDefault(onTime, 0) > 0 ? onTime : BatchQueue.late(service);
          double fraction = fractions.getOrDefault(queue, 0.0);
          if (fraction > 0) {
            startItemsOf(
                usable,
                fraction,
                ownReady.get(queue),
                readyOfAll(queue, ownReady, others),
                reusesOwnSlot);
          }
        });
  }

  private double startableFraction(String service, int before, int ready) {
    List<EndpointLoad> loads = endpoints.loads(service, Set.of());
    DemandForecast forecast = demand(service).forecast();
    int slots = BatchPlacement.slots(loads);
    double expected =
        batchSource
            .next(service)
            .map(item -> BatchPlacement.expectedLive(forecast, item, ready, slots))
            .orElse(0.0);
    return BatchPlacement.startableFraction(loads, before, expected);
  }

  private DemandHistory demand(String service) {
    return demands.computeIfAbsent(service, key -> new DemandHistory());
  }

  /**
   * Records the present number of live requests of each service. To be called at each tick.
   *
   * @param nowNanos monotonic time in nanoseconds
   */
  void observeDemand(long nowNanos) {
    if (!demands.isEmpty() && nowNanos - lastObservedNanos < OBSERVATION_NANOS) {
      return;
    }
    lastObservedNanos = nowNanos;
    LoadTotals others = endpoints.others();
    Map<String, Integer> live = new HashMap<>();
    for (ServiceEndpoint endpoint : endpoints.all()) {
      String name = endpoint.name();
      int theirs = others.endpoints().getOrDefault(name, EndpointTotal.NONE).live();
      live.merge(endpoint.service(), endpoints.own(name).live() + theirs, Integer::sum);
    }
    demands.keySet().retainAll(live.keySet());
    live.forEach((service, slots) -> demand(service).observe(slots, nowNanos));
    overbookedSince.keySet().removeIf(name -> endpoints.find(name).isEmpty());
  }

  private static int readyOfAll(
      BatchQueue queue, Map<BatchQueue, Integer> ownReady, LoadTotals others) {
    int reported = others.batchReady().getOrDefault(queue.reportName(), 0);
    return ownReady.getOrDefault(queue, 0) + Math.max(0, reported);
  }

  /** Starts items of one queue at the endpoints of its service. */
  private void startItemsOf(
      List<ServiceEndpoint> usable,
      double fraction,
      int ownReady,
      int allReady,
      boolean reusesOwnSlot) {
    String service = usable.get(0).service();
    List<EndpointLoad> loads = loads(usable);
    int allowed =
        BatchPlacement.allowance(loads, fraction, ownReady, allReady, random.getAsDouble());
    if (reusesOwnSlot) {
      allowed = Math.max(allowed, 1);
    }
    for (int started = 0; started < allowed; started++) {
      PromptPrefix prompt =
          endpoints.prompts().isUsed(service) ? batchSource.nextPrompt(service) : PromptPrefix.NONE;
      List<EndpointLoad> current = endpoints.withSavings(loads(usable), prompt);
      Optional<EndpointLoad> chosen = BatchPlacement.choose(current, random.getAsDouble());
      if (chosen.isEmpty() || !batchSource.startNext(chosen.get().endpoint())) {
        return;
      }
      endpoints.restrictions().sent(chosen.get().endpoint());
      endpoints.addOccupancy(chosen.get().endpoint().name(), WorkClass.BATCH, 1);
    }
  }

  private List<EndpointLoad> loads(List<ServiceEndpoint> usable) {
    LoadTotals others = endpoints.others();
    return usable.stream().map(endpoint -> endpoints.load(endpoint, others)).toList();
  }
}
