package org.sedgeroad.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A segment that this instance holds, with the work in progress. Used by one thread only. */
final class HeldSegment {
  private final Job job;
  private final List<BatchItem> items;
  private final Deque<BatchItem> waiting = new ArrayDeque<>();
  private final Map<Integer, Integer> attempts = new HashMap<>();
  private final Set<RunningItem> running = new java.util.LinkedHashSet<>();
  private final List<ItemResult> pending = new ArrayList<>();
  private Segment segment;
  private long version;
  private long pendingSinceNanos;
  private long retryAtNanos;
  private boolean busy;
  private boolean cancelled;

  HeldSegment(Job job, Segment segment, long version, List<BatchItem> items, long nowNanos) {
    this.job = job;
    this.segment = segment;
    this.version = version;
    this.items = items;
    this.retryAtNanos = nowNanos;
    items.stream()
        .filter(item -> segment.state(item.index()) == ItemState.WAITING)
        .forEach(waiting::add);
  }

  Job job() {
    return job;
  }

  SegmentKey key() {
    return segment.key();
  }

  Segment segment() {
    return segment;
  }

  long version() {
    return version;
  }

  BatchItem item(int index) {
    return items.get(index);
  }

  Deque<BatchItem> waiting() {
    return waiting;
  }

  Set<RunningItem> running() {
    return running;
  }

  List<ItemResult> pending() {
    return pending;
  }

  boolean isBusy() {
    return busy;
  }

  boolean isCancelled() {
    return cancelled;
  }

  void markCancelled() {
    cancelled = true;
    waiting.clear();
    pending.clear();
  }

  /** Counts an attempt and returns how many there have been. */
  int countAttempt(BatchItem item) {
    return attempts.merge(item.index(), 1, Integer::sum);
  }

  void addPending(ItemResult result, long nowNanos) {
    if (pending.isEmpty()) {
      pendingSinceNanos = nowNanos;
    }
    pending.add(result);
  }

  boolean isOlderThan(long nanos, long nowNanos) {
    return !pending.isEmpty() && nowNanos - pendingSinceNanos >= nanos;
  }

  /** Returns whether each item has a result that is committed or waits for a commit. */
  boolean isDrained() {
    return waiting.isEmpty() && running.isEmpty();
  }

  boolean mayTry(long nowNanos) {
    return !busy && nowNanos - retryAtNanos >= 0;
  }

  void begin() {
    busy = true;
  }

  /** Ends a store operation; the next one starts at the given time at the earliest. */
  void end(long retryAt) {
    busy = false;
    retryAtNanos = retryAt;
  }

  void replaced(Segment written, long writtenVersion) {
    segment = written;
    version = writtenVersion;
  }
}
