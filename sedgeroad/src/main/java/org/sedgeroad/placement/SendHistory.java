package org.sedgeroad.placement;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.LongPredicate;

/** Times at which this instance sent requests to endpoints. Used on the event loop. */
final class SendHistory {
  private final Map<String, Deque<Long>> sends = new HashMap<>();

  /**
   * Records a request that is sent now, and forgets those that are older than a window.
   *
   * @param windowMillis length of the window, in milliseconds
   */
  void record(String endpoint, long windowMillis, long nowNanos) {
    Deque<Long> times = sends.computeIfAbsent(endpoint, name -> new ArrayDeque<>());
    removeOld(times, windowMillis, nowNanos);
    times.addLast(nowNanos);
  }

  /** Returns the number of requests within a window that ends now. */
  int count(String endpoint, long windowMillis, long nowNanos) {
    Deque<Long> times = sends.get(endpoint);
    if (times == null) {
      return 0;
    }
    removeOld(times, windowMillis, nowNanos);
    return times.size();
  }

  /**
   * Returns the number of newest requests whose times meet a condition.
   *
   * @param condition condition on a monotonic time in nanoseconds that all later times meet too
   */
  int countNewest(String endpoint, LongPredicate condition) {
    Deque<Long> times = sends.get(endpoint);
    int count = 0;
    if (times != null) {
      Iterator<Long> newestFirst = times.descendingIterator();
      while (newestFirst.hasNext() && condition.test(newestFirst.next())) {
        count++;
      }
    }
    return count;
  }

  /** Forgets the endpoints that are not among some names. */
  void retain(Collection<String> endpoints) {
    sends.keySet().retainAll(endpoints);
  }

  private static void removeOld(Deque<Long> times, long windowMillis, long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.peekFirst() >= windowMillis * 1_000_000L) {
      times.removeFirst();
    }
  }
}
