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
 * delayed and incomplete, so a hint may be wrong; it expires after a fixed time. Prefixes are
 * identified by a hash, where 0 means no prefix. Thread-safe.
 */
public final class PrefixHints {
  private static final long HINT_LIFETIME_NANOS = 120_000_000_000L;

  /** Maximum remaining lifetime of an endpoint's hints after a gap in its events. */
  private static final long LIFETIME_AFTER_GAP_NANOS = 20_000_000_000L;

  private static final int MAX_PREFIXES = 20_000;
  private static final int MAX_RUNS = 4_096;
  private static final int MAX_ENDPOINTS_PER_PREFIX = 4;

  /**
   * Number of KV-cache blocks tracked for each prefix. Engines evict a prefix from its end; its
   * first blocks therefore show whether any of it is still cached.
   */
  private static final int TRACKED_BLOCKS_PER_PREFIX = 4;

  private static final int MAX_BLOCKS_PER_ENDPOINT = 8_192;

  /**
   * For each prefix: map from endpoint name to the monotonic expiry time of the hint, in
   * nanoseconds.
   */
  private final Map<Long, Map<String, Long>> hintsByPrefix = boundedMap(MAX_PREFIXES);

  /** For each endpoint name: map from the id of one of a prefix's first blocks to the prefix. */
  private final Map<String, Map<String, Long>> blocksByEndpoint = new HashMap<>();

  private final Set<String> endpointsWithHints = new HashSet<>();
  private final Map<String, Long> prefixByRun = boundedMap(MAX_RUNS);
  private final MonotonicClock clock;

  /** Creates an empty collection. */
  public PrefixHints(MonotonicClock clock) {
    this.clock = clock;
  }

  private static <K, V> Map<K, V> boundedMap(int maxSize) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxSize;
      }
    };
  }

  /**
   * Returns the names of the endpoints that probably have a prefix in their cache, those with the
   * latest hint first.
   */
  public synchronized List<String> find(long prefix) {
    Map<String, Long> hints = hintsByPrefix.get(prefix);
    if (hints == null) {
      return List.of();
    }
    long now = clock.nanos();
    hints.values().removeIf(expiryNanos -> now - expiryNanos >= 0);
    List<String> names = new ArrayList<>(hints.keySet());
    Collections.reverse(names);
    return names;
  }

  /**
   * Returns whether there has been a hint for an endpoint, including expired ones, since {@link
   * #removeHints} was last called for it.
   */
  public synchronized boolean hasHints(String endpoint) {
    return endpointsWithHints.contains(endpoint);
  }

  /**
   * Records that an attempt, identified by its run id, was sent to an endpoint with a prompt that
   * has the given prefix. Has no effect if the prefix is 0.
   */
  public synchronized void recordPlacement(String runId, long prefix, String endpoint) {
    if (prefix == 0) {
      return;
    }
    prefixByRun.put(runId, prefix);
    addHint(prefix, endpoint);
  }

  /**
   * Processes an event reporting that an endpoint has stored the blocks of a run. Has no effect if
   * the run is unknown.
   */
  public synchronized void recordStored(String endpoint, String runId, List<String> blocks) {
    Long prefix = prefixByRun.get(runId);
    if (prefix != null) {
      addHint(prefix, endpoint);
      Map<String, Long> known =
          blocksByEndpoint.computeIfAbsent(endpoint, name -> boundedMap(MAX_BLOCKS_PER_ENDPOINT));
      blocks.stream().limit(TRACKED_BLOCKS_PER_PREFIX).forEach(block -> known.put(block, prefix));
    }
  }

  /** Processes an event reporting that an endpoint has evicted blocks. */
  public synchronized void recordEvicted(String endpoint, Collection<String> blocks) {
    Map<String, Long> known = blocksByEndpoint.getOrDefault(endpoint, Map.of());
    for (String block : blocks) {
      Long prefix = known.get(block);
      if (prefix != null) {
        known.remove(block);
        hintsByPrefix.getOrDefault(prefix, new HashMap<>()).remove(endpoint);
      }
    }
  }

  /**
   * Records that events of an endpoint were missed. Some of its hints may be wrong, so their
   * lifetime is shortened.
   */
  public synchronized void recordGap(String endpoint) {
    long latestExpiryNanos = clock.nanos() + LIFETIME_AFTER_GAP_NANOS;
    for (Map<String, Long> hints : hintsByPrefix.values()) {
      hints.computeIfPresent(
          endpoint,
          (name, expiryNanos) ->
              expiryNanos - latestExpiryNanos > 0 ? latestExpiryNanos : expiryNanos);
    }
  }

  /** Removes all hints for an endpoint that has lost its cache. */
  public synchronized void removeHints(String endpoint) {
    blocksByEndpoint.remove(endpoint);
    endpointsWithHints.remove(endpoint);
    hintsByPrefix.values().forEach(hints -> hints.remove(endpoint));
  }

  private void addHint(long prefix, String endpoint) {
    Map<String, Long> hints = hintsByPrefix.computeIfAbsent(prefix, key -> new LinkedHashMap<>());
    hints.remove(endpoint);
    if (hints.size() >= MAX_ENDPOINTS_PER_PREFIX) {
      hints.remove(hints.keySet().iterator().next());
    }
    hints.put(endpoint, clock.nanos() + HINT_LIFETIME_NANOS);
    endpointsWithHints.add(endpoint);
  }
}
