package org.sedgeroad.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Finds out how long a client had been waiting when its request arrived, from the time that it will
 * still wait. Used on the event loop.
 *
 * <p>The clients of a route wait for the same time in all, which new requests name; a request that
 * names less was sent before, to an instance that did not serve it.
 */
final class ClientPatience {
  /** Requests of a route that are looked back on; about a second of them. */
  static final int WINDOW = 64;

  /** Requests that must name the same time before it counts as that of new requests. */
  static final int LEAST_REQUESTS = 4;

  /**
   * Part of the window that must name the same time; after an outage at least this many requests
   * are new, and few clients with more patience than the others do not count.
   */
  static final double LEAST_PART = 0.125;

  /** Width of what counts as the same time, in milliseconds; a hundredth of usual deadlines. */
  static final long STEP_MILLIS = 20;

  /** Routes that are remembered; more than a configuration has, so that only old ones go. */
  private static final int MOST_ROUTES = 1_000;

  private final Map<String, Window> windows =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Window> eldest) {
          return size() > MOST_ROUTES;
        }
      };

  /**
   * Notes a request and returns how long its client had waited before, in nanoseconds.
   *
   * @param route name of the route
   * @param leftNanos time that the client will still wait, in nanoseconds
   */
  long waitedNanos(String route, long leftNanos) {
    long step = leftNanos / (STEP_MILLIS * 1_000_000L);
    long waited = windows.computeIfAbsent(route, name -> new Window()).add(step) - step;
    // One step more or less is the time on the way.
    return waited <= 1 ? 0 : waited * STEP_MILLIS * 1_000_000L;
  }

  /** The newest requests of a route. */
  private static final class Window {
    private final Deque<Long> steps = new ArrayDeque<>();
    private final TreeMap<Long, Integer> counts = new TreeMap<>();

    /** Adds a request; returns the step that new requests name, the request's own if unknown. */
    long add(long step) {
      steps.addLast(step);
      counts.merge(step, 1, Integer::sum);
      if (steps.size() > WINDOW) {
        counts.computeIfPresent(steps.removeFirst(), (old, count) -> count == 1 ? null : count - 1);
      }
      double least = Math.max(LEAST_REQUESTS, LEAST_PART * steps.size());
      for (Map.Entry<Long, Integer> entry : counts.descendingMap().entrySet()) {
        if (entry.getValue() >= least) {
          return entry.getKey();
        }
      }
      return step;
    }
  }
}
