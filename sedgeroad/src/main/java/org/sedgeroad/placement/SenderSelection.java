package org.sedgeroad.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.peer.RendezvousHashing;

/**
 * Selects the instances that use an endpoint with a limited rate. All instances that know the same
 * instances select the same ones. Used on the event loop.
 *
 * <p>Instances in the region of the endpoint come first. An instance that has been silent for
 * {@link #SILENCE_MILLIS} is gone and is not selected.
 */
final class SenderSelection {
  /** Time after which a silent instance is considered gone; splits last for seconds. */
  static final long SILENCE_MILLIS = 15_000;

  private final String instance;
  private final UnaryOperator<String> regionOfDomain;
  private final Supplier<Map<String, String>> domainsByInstance;
  private final Map<String, Long> heardNanos = new HashMap<>();
  private Map<String, String> candidates = Map.of();
  private final Map<String, List<String>> ranked = new HashMap<>();

  /**
   * Creates a selection.
   *
   * @param instance name of this instance
   * @param domain failure domain of this instance
   * @param regionOfDomain returns the region of a failure domain
   * @param domainsByInstance returns the failure domains of the other registered instances
   */
  SenderSelection(
      String instance,
      String domain,
      UnaryOperator<String> regionOfDomain,
      Supplier<Map<String, String>> domainsByInstance) {
    this.instance = instance;
    this.regionOfDomain = regionOfDomain;
    this.domainsByInstance =
        () -> {
          Map<String, String> domains = new HashMap<>(domainsByInstance.get());
          domains.put(instance, domain);
          return domains;
        };
    this.candidates = Map.of(instance, domain);
  }

  /**
   * Updates the instances that can be selected.
   *
   * @param isLive returns whether another instance is heard
   * @param isLeaving returns whether another instance has announced its stop
   * @param nowNanos monotonic time, in nanoseconds
   */
  void update(Predicate<String> isLive, Predicate<String> isLeaving, long nowNanos) {
    Map<String, String> next = domainsByInstance.get();
    heardNanos.keySet().retainAll(next.keySet());
    for (String name : Set.copyOf(next.keySet())) {
      if (isLive.test(name)) {
        heardNanos.put(name, nowNanos);
      } else {
        heardNanos.putIfAbsent(name, nowNanos);
      }
    }
    next.keySet()
        .removeIf(
            name ->
                !name.equals(instance)
                    && (isLeaving.test(name)
                        || nowNanos - heardNanos.get(name) >= SILENCE_MILLIS * 1_000_000L));
    if (!next.equals(candidates)) {
      candidates = next;
      ranked.clear();
    }
  }

  /** Returns the number of instances that can be selected. */
  int candidates() {
    return candidates.size();
  }

  /** Returns the senders of an endpoint, at most the given number. */
  List<String> senders(ServiceEndpoint endpoint, int number) {
    List<String> all = ranked.computeIfAbsent(endpoint.name(), name -> rank(endpoint));
    return all.subList(0, Math.min(number, all.size()));
  }

  /** Forgets the ranks of endpoints that are not among some names. */
  void retain(Collection<String> endpoints) {
    ranked.keySet().retainAll(endpoints);
  }

  private List<String> rank(ServiceEndpoint endpoint) {
    String region = regionOfDomain.apply(endpoint.domain());
    List<String> near = new ArrayList<>();
    List<String> far = new ArrayList<>();
    for (String name : RendezvousHashing.rank(endpoint.name(), candidates.keySet())) {
      boolean same = regionOfDomain.apply(candidates.get(name)).equals(region);
      (same ? near : far).add(name);
    }
    near.addAll(far);
    return near;
  }
}
