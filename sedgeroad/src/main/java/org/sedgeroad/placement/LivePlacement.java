package org.sedgeroad.placement;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/**
 * Chooses the endpoint for a live request: one with the least expected time to the first event.
 *
 * <p>The time at an endpoint is the sum of the wait for a slot, of the time to the first event at
 * its speed, and of the distance, less the time that cached parts of the prompt save. A free slot
 * costs no wait, the slot of a batch item of this instance costs the preemption, that of another
 * instance's item also the time until that instance knows, and a place in a short queue inside the
 * endpoint the time until requests there end. If no endpoint has any of these, the request waits in
 * the instance. Free slots of endpoints that accept a limited rate are used after those of others:
 * a rate is used best by items, which are longer, and by the requests that find no other slot.
 */
public final class LivePlacement {
  /**
   * Number of live requests that may be queued inside an endpoint of median speed: with 8 slots
   * that are held for 0.7 s each, a slot becomes free every 0.09 s, so that two requests wait less
   * than an objective of 0.3 s. At other speeds, as many as wait for the same time.
   */
  public static final int MAXIMUM_QUEUE_IN_ENDPOINT = 2;

  /**
   * Cost of a preemption of an own item, in milliseconds: the prompt and the output of the item are
   * processed again, which takes an endpoint up to 30 ms.
   */
  private static final double OWN_ITEM_MILLIS = 30;

  /**
   * Cost of a preemption of another instance's item, in milliseconds: the same, and 30 ms until
   * that instance knows of the request.
   */
  private static final double OTHER_ITEM_MILLIS = 60;

  /** Time by which another region is farther away, in milliseconds: a round trip. */
  private static final double OTHER_REGION_MILLIS = 24;

  /** Time by which another failure domain of this region is farther away, in milliseconds. */
  private static final double OTHER_DOMAIN_MILLIS = 3;

  /**
   * Weight of an endpoint in another region beside its distance, because its answers use the link
   * between the regions. With the distance, it gets a tenth of the requests of a near one.
   */
  private static final double OTHER_REGION_WEIGHT = 0.22;

  /**
   * Additional time at which an endpoint is chosen 2.7 times less often, in milliseconds: the usual
   * age of the counts, in which a peak fills the slots that they show as free.
   */
  private static final double NEAR_EQUAL_MILLIS = 30;

  private LivePlacement() {}

  /**
   * Returns the endpoint for a request, empty if the request has to wait.
   *
   * <p>All instances choose by counts that are some tens of milliseconds old. If each one chose the
   * endpoint with the least time, the requests of this time would all arrive there; so the choice
   * among those with nearly the least is random, in proportion to the slots that can be had.
   *
   * @param loads loads of the endpoints that the request may use
   * @param deferrable whether the request is late and can wait
   * @param times times of requests of the service at an endpoint of median speed
   * @param random source of random numbers from 0 (inclusive) to 1 (exclusive)
   */
  static Optional<LiveChoice> choose(
      List<EndpointLoad> loads, boolean deferrable, RunTimes times, DoubleSupplier random) {
    List<EndpointLoad> candidates = healthy(loads);
    boolean unlimitedFree = candidates.stream().anyMatch(LivePlacement::isUnlimitedFree);
    Option[] options = new Option[candidates.size()];
    double least = Double.POSITIVE_INFINITY;
    double leastWithoutPreemption = Double.POSITIVE_INFINITY;
    for (int index = 0; index < options.length; index++) {
      EndpointLoad load = candidates.get(index);
      if (!unlimitedFree || !load.isLimited()) {
        options[index] = option(load, deferrable, times);
        least = Math.min(least, options[index].millis);
        if (options[index].preemption == Preemption.NONE) {
          leastWithoutPreemption = Math.min(leastWithoutPreemption, options[index].millis);
        }
      }
    }
    double[] weights = new double[options.length];
    for (int index = 0; index < options.length; index++) {
      weights[index] = weight(options[index], least, leastWithoutPreemption);
    }
    int chosen = atRandom(weights, random.getAsDouble());
    return chosen < 0
        ? Optional.empty()
        : Optional.of(
            new LiveChoice(
                candidates.get(chosen).endpoint(),
                options[chosen].preemption == Preemption.OWN_ITEM));
  }

  /** What has to give way to a request at an endpoint. */
  private enum Preemption {
    NONE,
    OWN_ITEM,
    OTHER_ITEM
  }

  /**
   * The best way to run a request at one endpoint.
   *
   * @param load load of the endpoint
   * @param room number of requests that can be run in this way, not positive if there is none
   * @param millis expected time to the first event, infinite if there is no such way
   * @param preemption what gives way
   */
  private record Option(EndpointLoad load, int room, double millis, Preemption preemption) {}

  private static Option option(EndpointLoad load, boolean deferrable, RunTimes times) {
    int slots = load.endpoint().slots();
    double base = times.firstEventMillis() * load.slowness() + distanceMillis(load);
    if (load.startable() > 0) {
      return new Option(load, load.startable(), base - load.saving().millis(), Preemption.NONE);
    }
    int preemptible = Math.min(slots - load.live(), load.allowance());
    int ownPreemptible = Math.min(load.ownBatch(), preemptible);
    if (ownPreemptible > 0) {
      return afterWait(load, ownPreemptible, base, OWN_ITEM_MILLIS, Preemption.OWN_ITEM);
    }
    if (preemptible > 0) {
      return afterWait(load, preemptible, base, OTHER_ITEM_MILLIS, Preemption.OTHER_ITEM);
    }
    // A deferrable request is not queued inside an endpoint, because a request that can still be on
    // time could not overtake it.
    int queue = (int) (MAXIMUM_QUEUE_IN_ENDPOINT / load.slowness());
    int queueRoom = deferrable ? 0 : Math.min(slots + queue - load.live(), load.allowance());
    double stepMillis = times.slotMillis() * load.slowness() / Math.max(1, slots);
    double waitMillis =
        queueRoom > 0 ? (load.live() - slots + 1) * stepMillis : Double.POSITIVE_INFINITY;
    return afterWait(load, queueRoom, base, waitMillis, Preemption.NONE);
  }

  /**
   * Returns an option with a wait, which counts in full if it takes longer than the cache saves.
   */
  private static Option afterWait(
      EndpointLoad load, int room, double base, double waitMillis, Preemption preemption) {
    double saved = load.saving().afterWait(waitMillis);
    return new Option(load, room, base + waitMillis - saved, preemption);
  }

  private static double distanceMillis(EndpointLoad load) {
    return switch (load.distance()) {
      case SAME_DOMAIN -> 0;
      case SAME_REGION -> OTHER_DOMAIN_MILLIS;
      case OTHER_REGION -> OTHER_REGION_MILLIS;
    };
  }

  private static boolean isUnlimitedFree(EndpointLoad load) {
    return !load.isLimited() && load.free() > 0;
  }

  /** Returns the endpoints that are not suspect, or all of them if each one is. */
  static List<EndpointLoad> healthy(List<EndpointLoad> loads) {
    List<EndpointLoad> healthy = loads.stream().filter(load -> !load.suspect()).toList();
    return healthy.isEmpty() ? loads : healthy;
  }

  /** Returns an index at random, in proportion to its weight; -1 if no weight is positive. */
  private static int atRandom(double[] weights, double random) {
    double left = random * Arrays.stream(weights).sum();
    int last = -1;
    for (int index = 0; index < weights.length; index++) {
      if (weights[index] > 0) {
        last = index;
        left -= weights[index];
        if (left < 0) {
          return last;
        }
      }
    }
    return last;
  }

  /**
   * Returns the weight of an option; 0 if it is none, or preempts an item although another option
   * without preemption takes no longer.
   */
  private static double weight(Option option, double least, double leastWithoutPreemption) {
    if (option == null || option.room <= 0) {
      return 0;
    }
    if (option.preemption != Preemption.NONE && leastWithoutPreemption <= option.millis) {
      return 0;
    }
    double link =
        option.load.distance() == EndpointLoad.Distance.OTHER_REGION ? OTHER_REGION_WEIGHT : 1;
    return option.room * link * Math.exp((least - option.millis) / NEAR_EQUAL_MILLIS);
  }
}
