package org.sedgeroad.testing;

import java.util.ArrayDeque;
import java.util.Deque;
import org.sedgeroad.MonotonicClock;

/**
 * A value that is shown as it was some time ago. Thread-safe.
 *
 * @param <T> type of the value, immutable
 */
public final class LaggedValue<T> {
  private record Entry<T>(T value, long sinceNanos) {}

  private final MonotonicClock clock;
  private final Deque<Entry<T>> entries = new ArrayDeque<>();
  private long lagNanos;

  /** Creates a value that has been in place for at least the lag. */
  public LaggedValue(T initial, long lagMillis, MonotonicClock clock) {
    this.clock = clock;
    this.lagNanos = lagMillis * 1_000_000L;
    entries.add(new Entry<>(initial, clock.nanos() - lagNanos));
  }

  /** Replaces the value; it is shown once the lag has passed. */
  public synchronized void set(T value) {
    removeSuperseded();
    entries.add(new Entry<>(value, clock.nanos()));
  }

  /** Changes the lag. */
  public synchronized void setLagMillis(long lagMillis) {
    lagNanos = lagMillis * 1_000_000L;
  }

  /** Returns the latest value, which may not be shown yet. */
  public synchronized T latest() {
    return entries.getLast().value();
  }

  /** Returns the value as it was before the lag. */
  public synchronized T shown() {
    removeSuperseded();
    return entries.getFirst().value();
  }

  /** Removes the entries that a later one, already visible, hides. */
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
