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

  /**
   * Smallest number of requests over which the fraction is taken, so that the first few requests
   * with a new part do not make it popular.
   */
  private static final double LEAST_REQUESTS = 8;

  /**
   * Uses of a prefix after the first.
   *
   * @param value their number, of which earlier ones count less
   * @param atRequest number of the request at which the value was taken
   * @param firstRequest number of the request with the first use
   */
  private record Count(double value, long atRequest, long firstRequest) {}

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
      long key = prompt.key(index);
      Count before = counts.get(key);
      counts.put(
          key,
          before == null
              ? new Count(0, requests, requests)
              : new Count(1 + value(before), requests, before.firstRequest()));
    }
  }

  /**
   * Returns the fraction of the requests that begin with the parts of a key, from 0 to 1, since the
   * first of them was sent.
   */
  double fraction(long key) {
    Count count = counts.get(key);
    if (count == null) {
      return 0;
    }
    double since = WINDOW * (1 - kept(requests - count.firstRequest()));
    return Math.min(1, value(count) / Math.max(LEAST_REQUESTS, since));
  }

  private double value(Count count) {
    return count.value() * kept(requests - count.atRequest());
  }

  /** Returns the weight of a request that was sent a number of requests ago. */
  private static double kept(long requestsAgo) {
    return Math.pow(1 - 1 / WINDOW, requestsAgo);
  }
}
