package org.sedgeroad.testing;

import java.util.ArrayDeque;
import java.util.Deque;
import org.sedgeroad.MonotonicClock;

/**
 * Holds a value whose changes become visible after a lag. Thread-safe.
 *
 * @param <T> type of the value, which must be immutable
 */
public final class LaggedValue<T> {
  private record Entry<T>(T value, long sinceNanos) {}

  private final MonotonicClock clock;
  private final Deque<Entry<T>> entries = new ArrayDeque<>();
  private long lagNanos;

  /** Creates a holder whose initial value is visible at once. */
  public LaggedValue(T initial, long lagMillis, MonotonicClock clock) {
    this.clock = clock;
    this.lagNanos = lagMillis * 1_000_000L;
    entries.add(new Entry<>(initial, clock.nanos() - lagNanos));
  }

  /** Sets the value; it becomes visible once the lag has passed. */
  public synchronized void set(T value) {
    removeSuperseded();
    entries.add(new Entry<>(value, clock.nanos()));
  }

  /** Changes the lag, also for values that are not visible yet. */
  public synchronized void setLagMillis(long lagMillis) {
    lagNanos = lagMillis * 1_000_000L;
  }

  /** Returns the value set last, which may not be visible yet. */
  public synchronized T latest() {
    return entries.getLast().value();
  }

  /** Returns the visible value: the newest one whose lag has passed. */
  public synchronized T visible() {
    removeSuperseded();
    return entries.getFirst().value();
  }

  /** Removes the entries that a later, already visible entry has replaced. */
  private void removeSuperseded() {
    long visibleNanos = clock.nanos() - lagNanos;
    while (entries.size() > 1) {
      Entry<T> first = entries.removeFirst();
      if (visibleNanos - entries.getFirst().sinceNanos() < 0) {
        entries.addFirst(first);
        return;
      }
    }
  }
}
