package org.sedgeroad.presence;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sedgeroad.peer.RendezvousHashing;

/**
 * Selects the hubs of a failure domain: the instances that collect the load reports of the domain
 * and publish their sums. Used on the event loop.
 *
 * <p>All instances select by the same order, so that they agree as long as they know the same
 * instances. An instance that was selected and is not heard is skipped until it is heard again. Two
 * hubs are selected, so that the loss of one interrupts nothing.
 */
final class HubSelector {
  /** Number of hubs of a failure domain. */
  static final int HUBS = 2;

  /**
   * Time without a summary after which a selected hub is skipped, in milliseconds; twice the time
   * between two summaries of a hub without changes.
   */
  static final long SILENCE_MILLIS = 400;

  private final String instance;
  private final Map<String, Long> selectedSinceNanos = new HashMap<>();
  private final Map<String, Long> heardNanos = new HashMap<>();
  private final Set<String> silent = new HashSet<>();

  /** Creates a selector for an instance, which always trusts itself. */
  HubSelector(String instance) {
    this.instance = instance;
  }

  /** Records that a hub was heard at a monotonic time in nanoseconds. */
  void heard(String hub, long nowNanos) {
    heardNanos.put(hub, nowNanos);
    silent.remove(hub);
  }

  /** Returns the instances that were selected and not heard since; they need to be tried again. */
  Set<String> silent() {
    return Set.copyOf(silent);
  }

  /**
   * Returns the hubs of a failure domain, the first one publishes most often.
   *
   * @param domain name of the failure domain
   * @param candidates names of the instances of the domain
   * @param nowNanos monotonic time, in nanoseconds
   * @return at most {@link #HUBS} names; fewer only if there are fewer candidates
   */
  List<String> select(String domain, Collection<String> candidates, long nowNanos) {
    List<String> ranked = RendezvousHashing.rank(domain, candidates);
    List<String> selected = new ArrayList<>();
    for (String candidate : ranked) {
      if (selected.size() < HUBS && isTrusted(candidate, nowNanos)) {
        selected.add(candidate);
      } else {
        selectedSinceNanos.remove(candidate);
      }
    }
    for (String candidate : ranked) {
      // Without trusted candidates, the silent ones are the best that is left.
      if (selected.size() < HUBS && !selected.contains(candidate)) {
        selected.add(candidate);
      }
    }
    return selected;
  }

  /** Forgets all instances that are not registered any more. */
  void retain(Collection<String> registered) {
    selectedSinceNanos.keySet().retainAll(registered);
    heardNanos.keySet().retainAll(registered);
    silent.retainAll(registered);
  }

  private boolean isTrusted(String candidate, long nowNanos) {
    if (candidate.equals(instance)) {
      return true;
    }
    if (silent.contains(candidate)) {
      return false;
    }
    long since = selectedSinceNanos.computeIfAbsent(candidate, name -> nowNanos);
    Long heard = heardNanos.get(candidate);
    long last = heard == null || heard - since < 0 ? since : heard;
    if (nowNanos - last >= SILENCE_MILLIS * 1_000_000L) {
      silent.add(candidate);
      return false;
    }
    return true;
  }
}
