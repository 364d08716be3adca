package org.sedgeroad.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Estimates how long a client had already been waiting when its request arrived. Used on the event
 * loop.
 *
 * <p>Each request states the time that its client will still wait. Nearly all clients of a route
 * have the same total timeout, so new requests state the same remaining time. A request that states
 * less was sent before, to an instance that did not serve it; the difference is the time waited.
 */
final class PriorWaitEstimator {
  /** Number of latest requests of a route that are considered; about those of one second. */
  static final int WINDOW_REQUESTS = 64;

  /** Number of requests that must state the same time before it counts as the total timeout. */
  static final int MINIMUM_REQUESTS = 4;

  /**
   * Fraction of the window that must state the same time. After an outage at least this fraction of
   * the requests is new, and a few clients with a longer timeout than the others stay below it.
   */
  static final double MINIMUM_SHARE = 0.125;

  /**
   * Width of a range that counts as the same time, in milliseconds; a hundredth of usual deadlines.
   */
  static final long STEP_MILLIS = 20;

  /**
   * Largest number of routes kept; more than a configuration has, so that only routes that are no
   * longer configured are evicted.
   */
  private static final int MAXIMUM_ROUTES = 1_000;

  private final Map<String, Window> windows =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Window> eldest) {
          return size() > MAXIMUM_ROUTES;
        }
      };

  /**
   * Records a request and returns how long its client had already waited, in nanoseconds; 0 for a
   * new request.
   *
   * @param route name of the route
   * @param remainingNanos time that the client will still wait, in nanoseconds
   */
  long waitedNanos(String route, long remainingNanos) {
    long step = remainingNanos / (STEP_MILLIS * 1_000_000L);
    long waited = windows.computeIfAbsent(route, name -> new Window()).add(step) - step;
    // A difference of one step is due to the time on the network.
    return waited <= 1 ? 0 : waited * STEP_MILLIS * 1_000_000L;
  }

  /** Remaining times of the latest requests of a route. */
  private static final class Window {
    private final Deque<Long> steps = new ArrayDeque<>();
    private final TreeMap<Long, Integer> counts = new TreeMap<>();

    /**
     * Adds a request with a remaining time in steps of {@link #STEP_MILLIS}. Returns the remaining
     * time that new requests state, in steps, or {@code step} if too few requests are known.
     */
    long add(long step) {
      steps.addLast(step);
      counts.merge(step, 1, Integer::sum);
      if (steps.size() > WINDOW_REQUESTS) {
        counts.computeIfPresent(steps.removeFirst(), (old, count) -> count == 1 ? null : count - 1);
      }
      double minimum = Math.max(MINIMUM_REQUESTS, MINIMUM_SHARE * steps.size());
      for (Map.Entry<Long, Integer> entry : counts.descendingMap().entrySet()) {
        if (entry.getValue() >= minimum) {
          return entry.getKey();
        }
      }
      return step;
    }
  }
}
