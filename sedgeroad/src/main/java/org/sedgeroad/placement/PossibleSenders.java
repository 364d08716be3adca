package org.sedgeroad.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * The instances that may be sending requests, whether or not they are connected to this one: those
 * that are registered, without those that are leaving or have been silent for {@link
 * #SILENCE_MILLIS}. Used on the event loop.
 */
public final class PossibleSenders {
  /**
   * Time after which a silent instance is considered gone, in milliseconds; splits last for
   * seconds.
   */
  public static final long SILENCE_MILLIS = 15_000;

  private final String instance;
  private final String domain;
  private final Supplier<Map<String, String>> domainsByInstance;
  private final Map<String, Long> heardNanos = new HashMap<>();
  private Map<String, String> domains;

  /**
   * Creates a set that holds this instance only. No argument may be null.
   *
   * @param instance name of this instance
   * @param domain failure domain of this instance
   * @param domainsByInstance returns the failure domains of the other registered instances
   */
  public PossibleSenders(
      String instance, String domain, Supplier<Map<String, String>> domainsByInstance) {
    this.instance = Objects.requireNonNull(instance);
    this.domain = Objects.requireNonNull(domain);
    this.domainsByInstance = Objects.requireNonNull(domainsByInstance);
    this.domains = Map.of(instance, domain);
  }

  /**
   * Updates the instances; returns whether they have changed.
   *
   * @param isLive returns whether another instance is heard
   * @param isLeaving returns whether another instance has announced its stop
   * @param nowNanos monotonic time, in nanoseconds
   */
  public boolean update(Predicate<String> isLive, Predicate<String> isLeaving, long nowNanos) {
    Map<String, String> next = new HashMap<>(domainsByInstance.get());
    next.put(instance, domain);
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
    boolean changed = !next.equals(domains);
    domains = next;
    return changed;
  }

  /** Returns the number of instances, with this one. */
  public int count() {
    return domains.size();
  }

  /** Returns the failure domains of the instances by name, with this one. */
  Map<String, String> domains() {
    return domains;
  }
}
