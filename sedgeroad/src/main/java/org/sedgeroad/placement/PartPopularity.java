package org.sedgeroad.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.sedgeroad.gateway.PromptPrefix;

/**
 * Fraction of the recent requests of this instance that begin with the same prompt parts. Bounded;
 * used on the event loop.
 */
final class PartPopularity {
  /** Number of requests over which the fraction is taken. */
  private static final double WINDOW = 64;

  /** Maximum number of prefixes: those of the last 64 requests with the most parts. */
  private static final int MAXIMUM_PREFIXES = (int) WINDOW * PromptPrefix.MAXIMUM_PARTS;

  private record Count(double value, long atRequest) {}

  private final Map<Long, Count> counts =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Count> eldest) {
          return size() > MAXIMUM_PREFIXES;
        }
      };

  private long requests;

  /** Adds a request that begins with some parts. */
  void add(PromptPrefix prompt) {
    requests++;
    for (int index = 0; index < prompt.size(); index++) {
      counts.put(prompt.key(index), new Count(1 + count(prompt.key(index)), requests));
    }
  }

  /** Returns the fraction of the requests that begin with the parts of a key, from 0 to 1. */
  double fraction(long key) {
    return Math.min(1, count(key) / WINDOW);
  }

  private double count(long key) {
    Count count = counts.get(key);
    return count == null
        ? 0
        : count.value() * Math.pow(1 - 1 / WINDOW, requests - count.atRequest());
  }
}
