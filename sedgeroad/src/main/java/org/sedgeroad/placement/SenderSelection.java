package org.sedgeroad.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
  /** Time after which a silent instance is considered gone, in milliseconds. */
  static final long SILENCE_MILLIS = PossibleSenders.SILENCE_MILLIS;

  private final UnaryOperator<String> regionOfDomain;
  private final PossibleSenders candidates;
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
    this.regionOfDomain = regionOfDomain;
    this.candidates = new PossibleSenders(instance, domain, domainsByInstance);
  }

  /** Updates the instances that can be selected, see {@link PossibleSenders#update}. */
  void update(Predicate<String> isLive, Predicate<String> isLeaving, long nowNanos) {
    if (candidates.update(isLive, isLeaving, nowNanos)) {
      ranked.clear();
    }
  }

  /** Returns the number of instances that can be selected. */
  int candidates() {
    return candidates.count();
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
    for (String name : RendezvousHashing.rank(endpoint.name(), candidates.domains().keySet())) {
      boolean same = regionOfDomain.apply(candidates.domains().get(name)).equals(region);
      (same ? near : far).add(name);
    }
    near.addAll(far);
    return near;
  }
}
