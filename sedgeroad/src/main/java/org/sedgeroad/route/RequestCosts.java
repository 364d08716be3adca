package org.sedgeroad.route;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Median cost in tokens of the recently placed live requests of each service. Thread-safe. */
public final class RequestCosts {
  /** A request is long if its cost exceeds the median by more than this factor. */
  private static final int LONG_FACTOR = 8;

  private static final int SAMPLE_COUNT = 256;
  private static final int RECOMPUTE_INTERVAL = 16;

  /** Minimum number of requests needed to calculate a median; before, no request counts as long. */
  private static final int MIN_SAMPLES = 32;

  private final Map<String, Costs> services = new ConcurrentHashMap<>();

  /** Adds the cost of a placed request. */
  void add(RequestShape request) {
    services.computeIfAbsent(request.service(), name -> new Costs()).add(request.cost());
  }

  /** Returns whether a request's expected cost is more than 8 times the median of its service. */
  boolean isLong(RequestShape request) {
    return isLong(request.service(), request.cost());
  }

  /** Returns whether a cost in tokens is more than 8 times the median of a service. */
  boolean isLong(String service, long cost) {
    Costs costs = services.get(service);
    return costs != null && costs.median > 0 && cost > LONG_FACTOR * costs.median;
  }

  /**
   * Returns the median cost in tokens of a service, or the given value if the median is not yet
   * known.
   */
  long medianOr(String service, long fallback) {
    Costs costs = services.get(service);
    return costs == null || costs.median == 0 ? fallback : costs.median;
  }

  /** Recent costs of one service with their median. */
  private static final class Costs {
    private final long[] recent = new long[SAMPLE_COUNT];
    private long added;
    private volatile long median;

    synchronized void add(long cost) {
      recent[(int) (added++ % SAMPLE_COUNT)] = cost;
      if (added >= MIN_SAMPLES && added % RECOMPUTE_INTERVAL == 0) {
        long[] sorted = Arrays.copyOf(recent, (int) Math.min(SAMPLE_COUNT, added));
        Arrays.sort(sorted);
        median = Math.max(1, sorted[sorted.length / 2]);
      }
    }
  }
}
