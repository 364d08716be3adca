package org.sedgeroad.placement;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.LongPredicate;

/**
 * Times at which this instance sent requests, by the endpoint or workspace whose requests are
 * limited. Used on the event loop.
 */
public final class SendHistory {
  private final Map<String, Deque<Long>> sends = new HashMap<>();

  /**
   * Records a request that is sent now, and forgets those that are older than a window.
   *
   * @param windowMillis length of the window, in milliseconds
   */
  public void record(String key, long windowMillis, long nowNanos) {
    Deque<Long> times = sends.computeIfAbsent(key, each -> new ArrayDeque<>());
    removeOld(times, windowMillis, nowNanos);
    times.addLast(nowNanos);
  }

  /** Returns the number of requests within a window that ends now. */
  public int count(String key, long windowMillis, long nowNanos) {
    Deque<Long> times = sends.get(key);
    if (times == null) {
      return 0;
    }
    removeOld(times, windowMillis, nowNanos);
    return times.size();
  }

  /** Takes the newest request back, because it was not sent after all; no effect without one. */
  public void removeNewest(String key) {
    Deque<Long> times = sends.get(key);
    if (times != null) {
      times.pollLast();
    }
  }

  /** Returns the numbers of requests within a window that ends now, and forgets keys without. */
  public Map<String, Integer> counts(long windowMillis, long nowNanos) {
    sends.values().forEach(times -> removeOld(times, windowMillis, nowNanos));
    sends.values().removeIf(Deque::isEmpty);
    Map<String, Integer> counts = new HashMap<>();
    sends.forEach((key, times) -> counts.put(key, times.size()));
    return counts;
  }

  /**
   * Returns the number of newest requests whose times meet a condition.
   *
   * @param condition condition on a monotonic time in nanoseconds that all later times meet too
   */
  public int countNewest(String key, LongPredicate condition) {
    Deque<Long> times = sends.get(key);
    int count = 0;
    if (times != null) {
      Iterator<Long> newestFirst = times.descendingIterator();
      while (newestFirst.hasNext() && condition.test(newestFirst.next())) {
        count++;
      }
    }
    return count;
  }

  /** Forgets the keys that are not among those given. */
  public void retain(Collection<String> keys) {
    sends.keySet().retainAll(keys);
  }

  private static void removeOld(Deque<Long> times, long windowMillis, long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.peekFirst() >= windowMillis * 1_000_000L) {
      times.removeFirst();
    }
  }
}
