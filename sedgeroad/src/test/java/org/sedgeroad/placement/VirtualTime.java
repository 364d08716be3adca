package org.sedgeroad.placement;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.sedgeroad.MonotonicClock;

/** A simulated clock that advances from one scheduled task to the next. */
final class VirtualTime implements MonotonicClock {
  private record Task(long atNanos, long number, Runnable action) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::number));
  private long nowNanos;
  private long number;

  @Override
  public long nanos() {
    return nowNanos;
  }

  void after(double millis, Runnable action) {
    tasks.add(new Task(nowNanos + (long) (millis * 1e6), number++, action));
  }

  void runUntil(double millis) {
    while (!tasks.isEmpty() && tasks.peek().atNanos() <= millis * 1e6) {
      Task next = tasks.remove();
      nowNanos = next.atNanos();
      next.action().run();
    }
    nowNanos = (long) (millis * 1e6);
  }
}
