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
 * Collection of hints on which endpoints probably have the start of a prompt (its prefix) in their
 * cache.
 *
 * <p>Hints come from this instance's placements and from the engines' cache events. The events are
 * delayed and incomplete, so that a hint may be wrong; it expires after a fixed time. Prefixes are
 * identified by a hash, where 0 means no prefix. Thread-safe.
 */
public final class PrefixHints {
  private static final long KEPT_NANOS = 120_000_000_000L;

  /** Maximum remaining lifetime of an endpoint's hints after a gap in its events. */
  private static final long KEPT_AFTER_GAP_NANOS = 20_000_000_000L;

  private static final int PREFIXES = 20_000;
  private static final int RUNS = 4_096;
  private static final int ENDPOINTS_PER_PREFIX = 4;

  /**
   * Number of blocks tracked for each prefix. Engines evict a prefix from its end, so that its
   * first blocks show whether any of it is still cached.
   */
  private static final int BLOCKS_PER_HINT = 4;

  private static final int BLOCKS_PER_ENDPOINT = 8_192;

  /** Endpoint names with the monotonic expiry time of the hint in nanoseconds, by prefix. */
  private final Map<Long, Map<String, Long>> prefixes = bounded(PREFIXES);

  /** Prefixes by the ids of their first blocks, by endpoint name. */
  private final Map<String, Map<String, Long>> blocksByEndpoint = new HashMap<>();

  private final Set<String> hinted = new HashSet<>();
  private final Map<String, Long> runs = bounded(RUNS);
  private final MonotonicClock clock;

  /** Creates an empty collection. */
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

  /**
   * Returns the names of the endpoints that probably have a prefix in their cache, those with the
   * latest hint first.
   */
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

  /** Returns whether there has been any hint for an endpoint, including expired ones. */
  public synchronized boolean hasHints(String endpoint) {
    return hinted.contains(endpoint);
  }

  /** Records that a run with a prefix was sent to an endpoint. Has no effect if the prefix is 0. */
  public synchronized void placed(String runId, long prefix, String endpoint) {
    if (prefix == 0) {
      return;
    }
    runs.put(runId, prefix);
    put(prefix, endpoint);
  }

  /**
   * Processes an event that an endpoint has stored the blocks of a run. Has no effect on an unknown
   * run.
   */
  public synchronized void stored(String endpoint, String runId, List<String> blocks) {
    Long prefix = runs.get(runId);
    if (prefix != null) {
      put(prefix, endpoint);
      Map<String, Long> known =
          blocksByEndpoint.computeIfAbsent(endpoint, name -> bounded(BLOCKS_PER_ENDPOINT));
      blocks.stream().limit(BLOCKS_PER_HINT).forEach(block -> known.put(block, prefix));
    }
  }

  /** Processes an event that an endpoint has evicted blocks. */
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

  /**
   * Records that events of an endpoint were missed, so that some of its hints may be wrong.
   * Shortens the lifetime of its hints.
   */
  public synchronized void gap(String endpoint) {
    long latest = clock.nanos() + KEPT_AFTER_GAP_NANOS;
    for (Map<String, Long> hints : prefixes.values()) {
      hints.computeIfPresent(endpoint, (name, until) -> until - latest > 0 ? latest : until);
    }
  }

  /** Removes all hints for an endpoint that has lost its cache. */
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
