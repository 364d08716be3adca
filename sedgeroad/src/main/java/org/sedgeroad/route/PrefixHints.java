package org.sedgeroad.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sedgeroad.MonotonicClock;

/**
 * Which endpoints probably hold the start of a prompt in their cache.
 *
 * <p>Hints come from this instance's placements and from the engines' cache events. The events come
 * late and with gaps, so that a hint is never more than a hint and ends with its age. Thread-safe.
 */
public final class PrefixHints {
  private static final long KEPT_NANOS = 120_000_000_000L;

  /** After a gap in the events the hints of the endpoint have at most this much time left. */
  private static final long KEPT_AFTER_GAP_NANOS = 20_000_000_000L;

  private static final int PREFIXES = 20_000;
  private static final int RUNS = 4_096;
  private static final int ENDPOINTS_PER_PREFIX = 4;

  /** Evictions start at the end of a prefix; its first blocks tell whether any of it is left. */
  private static final int BLOCKS_PER_HINT = 4;

  private static final int BLOCKS_PER_ENDPOINT = 8_192;

  /** For each prefix the endpoints with the time at which the hint ends. */
  private final Map<Long, Map<String, Long>> prefixes = bounded(PREFIXES);

  /** For each endpoint the prefixes by their first blocks. */
  private final Map<String, Map<String, Long>> blocksByEndpoint = new HashMap<>();

  private final Set<String> hinted = new HashSet<>();
  private final Map<String, Long> runs = bounded(RUNS);
  private final MonotonicClock clock;

  /** Creates an empty collection of hints. */
  public PrefixHints(MonotonicClock clock) {
    this.clock = clock;
  }

  private static <K, V> Map<K, V> bounded(int most) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > most;
      }
    };
  }

  // -----------------------------------------------------------------------

  /** Returns the endpoints that probably hold a prefix, the latest hint first. */
  public synchronized List<String> find(long prefix) {
    Map<String, Long> hints = prefixes.get(prefix);
    if (hints == null) {
      return List.of();
    }
    long now = clock.nanos();
    hints.values().removeIf(until -> now - until >= 0);
    List<String> names = new ArrayList<>(hints.keySet());
    Collections.reverse(names);
    return names;
  }

  /** Returns whether there is any hint on an endpoint, be it an old one. */
  public synchronized boolean hasHints(String endpoint) {
    return hinted.contains(endpoint);
  }

  /** Notes that a run with a prefix was sent to an endpoint. */
  public synchronized void placed(String runId, long prefix, String endpoint) {
    if (prefix == 0) {
      return;
    }
    runs.put(runId, prefix);
    put(prefix, endpoint);
  }

  /** Takes an event that says that an endpoint has stored the blocks of a run. */
  public synchronized void stored(String endpoint, String runId, List<String> blocks) {
    Long prefix = runs.get(runId);
    if (prefix != null) {
      put(prefix, endpoint);
      Map<String, Long> known =
          blocksByEndpoint.computeIfAbsent(endpoint, name -> bounded(BLOCKS_PER_ENDPOINT));
      blocks.stream().limit(BLOCKS_PER_HINT).forEach(block -> known.put(block, prefix));
    }
  }

  /** Takes an event that says that an endpoint has dropped blocks. */
  public synchronized void evicted(String endpoint, Collection<String> blocks) {
    Map<String, Long> known = blocksByEndpoint.getOrDefault(endpoint, Map.of());
    for (String block : blocks) {
      Long prefix = known.get(block);
      if (prefix != null) {
        known.remove(block);
        prefixes.getOrDefault(prefix, new HashMap<>()).remove(endpoint);
      }
    }
  }

  /** Notes that events of an endpoint were missed: some of its hints may be wrong. */
  public synchronized void gap(String endpoint) {
    long latest = clock.nanos() + KEPT_AFTER_GAP_NANOS;
    for (Map<String, Long> hints : prefixes.values()) {
      hints.computeIfPresent(endpoint, (name, until) -> until - latest > 0 ? latest : until);
    }
  }

  /** Drops all hints of an endpoint, whose cache is gone. */
  public synchronized void forget(String endpoint) {
    blocksByEndpoint.remove(endpoint);
    hinted.remove(endpoint);
    prefixes.values().forEach(hints -> hints.remove(endpoint));
  }

  private void put(long prefix, String endpoint) {
    Map<String, Long> hints = prefixes.computeIfAbsent(prefix, key -> new LinkedHashMap<>());
    hints.remove(endpoint);
    if (hints.size() >= ENDPOINTS_PER_PREFIX) {
      hints.remove(hints.keySet().iterator().next());
    }
    hints.put(endpoint, clock.nanos() + KEPT_NANOS);
    hinted.add(endpoint);
  }
}
