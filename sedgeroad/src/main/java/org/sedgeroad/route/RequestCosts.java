package org.sedgeroad.route;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The usual cost of live requests of each service, from the last ones placed. Thread-safe. */
public final class RequestCosts {
  /** A request is long if its cost is more than this many times the median. */
  private static final int LONG_FACTOR = 8;

  private static final int KEPT = 256;
  private static final int RECOMPUTE_EACH = 16;

  /** Before this many requests no request counts as long. */
  private static final int LEAST_SAMPLES = 32;

  private final Map<String, Costs> services = new ConcurrentHashMap<>();

  /** Adds the cost of a placed request. */
  void add(RequestShape request) {
    services.computeIfAbsent(request.service(), name -> new Costs()).add(request.cost());
  }

  /** Returns whether a request's expected cost is far above the median of its service. */
  boolean isLong(RequestShape request) {
    return isLong(request.service(), request.cost());
  }

  /** Returns whether a cost in tokens is far above the median of a service. */
  boolean isLong(String service, long cost) {
    Costs costs = services.get(service);
    return costs != null && costs.median > 0 && cost > LONG_FACTOR * costs.median;
  }

  /** Returns the median cost in tokens of a service, the given one if it is not yet known. */
  long typical(String service, long otherwise) {
    Costs costs = services.get(service);
    return costs == null || costs.median == 0 ? otherwise : costs.median;
  }

  /** The last costs of one service. */
  private static final class Costs {
    private final long[] last = new long[KEPT];
    private long added;
    private volatile long median;

    synchronized void add(long cost) {
      last[(int) (added++ % KEPT)] = cost;
      if (added >= LEAST_SAMPLES && added % RECOMPUTE_EACH == 0) {
        long[] sorted = Arrays.copyOf(last, (int) Math.min(KEPT, added));
        Arrays.sort(sorted);
        median = Math.max(1, sorted[sorted.length / 2]);
      }
    }
  }
}
