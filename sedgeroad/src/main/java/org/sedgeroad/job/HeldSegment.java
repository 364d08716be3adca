package org.sedgeroad.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;

/** A segment that this instance holds, with its work in progress. Used by one thread only. */
final class HeldSegment {
  /**
   * Maximum uncompressed size of a result chunk, well below the store's limit of 1 MB for an
   * object.
   */
  static final int MAX_CHUNK_BYTES = 512 * 1024;

  private final Job job;
  private final List<BatchItem> items;
  private final Deque<BatchItem> waiting = new ArrayDeque<>();
  private final PriorityQueue<DelayedItem> delayed = new PriorityQueue<>();
  private final Map<Integer, Integer> attempts = new HashMap<>();
  private final Map<Integer, Integer> refusals = new HashMap<>();
  private final Map<Integer, Integer> interruptions = new HashMap<>();
  private final Map<Integer, Breaks> breaks = new HashMap<>();
  private final Set<RunningItem> running = new LinkedHashSet<>();
  private final List<ItemResult> pending = new ArrayList<>();
  private Segment segment;
  private long version;
  private long pendingBytes;
  private long pendingSinceNanos;
  private long lastProgressNanos;
  private long nextStoreOperationNanos;
  private boolean storeOperationRunning;
  private boolean reloadNeeded;
  private boolean cancelled;
  private boolean takenOver;

  HeldSegment(Job job, Segment segment, long version, List<BatchItem> items, long nowNanos) {
    this.job = job;
    this.segment = segment;
    this.version = version;
    this.items = items;
    this.nextStoreOperationNanos = nowNanos;
    this.lastProgressNanos = nowNanos;
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

  List<BatchItem> items() {
    return items;
  }

  /**
   * Returns whether the segment was taken over from an instance whose lease expired; its items are
   * late for that reason.
   */
  boolean isTakenOver() {
    return takenOver;
  }

  void setTakenOver(boolean value) {
    takenOver = value;
  }

  /** Removes and returns the first sendable item that passes the test, or null if there is none. */
  BatchItem takeSendable(Predicate<BatchItem> test, long nowNanos) {
    while (!delayed.isEmpty() && nowNanos - delayed.peek().readyAtNanos() >= 0) {
      waiting.addFirst(delayed.poll().item());
    }
    for (Iterator<BatchItem> each = waiting.iterator(); each.hasNext(); ) {
      BatchItem item = each.next();
      if (isSendable(item) && test.test(item)) {
        each.remove();
        return item;
      }
    }
    return null;
  }

  private boolean isSendable(BatchItem item) {
    return item.idempotent() || segment.state(item.index()) == ItemState.STARTED;
  }

  /** Returns the items that wait to be sent or for their next attempt. */
  List<BatchItem> waitingAndDelayed() {
    List<BatchItem> all = new ArrayList<>(waiting);
    delayed.forEach(each -> all.add(each.item()));
    return all;
  }

  /** Removes and returns the items that wait to be sent or for their next attempt and match. */
  List<BatchItem> removeWaiting(Predicate<BatchItem> test) {
    List<BatchItem> removed = waitingAndDelayed().stream().filter(test).toList();
    waiting.removeIf(test);
    delayed.removeIf(each -> test.test(each.item()));
    return removed;
  }

  /** Returns waiting non-idempotent items that must be marked as started before they are sent. */
  List<BatchItem> itemsToMarkStarted(Predicate<BatchItem> test, int limit) {
    return waiting.stream()
        .filter(item -> !isSendable(item) && test.test(item))
        .limit(limit)
        .toList();
  }

  /**
   * Returns the waiting items that are marked as started but have not run, for example because an
   * endpoint refused them.
   */
  List<BatchItem> startedButNotRun() {
    return waitingAndDelayed().stream()
        .filter(item -> !item.idempotent() && isSendable(item))
        .toList();
  }

  /** Puts an item that did not run back at the head of the waiting items. */
  void putBack(BatchItem item) {
    if (!cancelled) {
      waiting.addFirst(item);
    }
  }

  /** Puts an item back, to be sent again at the given time or later. */
  void putBackLater(BatchItem item, long readyAtNanos) {
    if (!cancelled) {
      delayed.add(new DelayedItem(item, readyAtNanos));
    }
  }

  /** Counts a failed attempt of an item and returns the number so far. */
  int countAttempt(BatchItem item) {
    return attempts.merge(item.index(), 1, Integer::sum);
  }

  /**
   * Counts a refusal of an item and returns the number so far. A refusal is not counted as an
   * attempt.
   */
  int countRefusal(BatchItem item) {
    return refusals.merge(item.index(), 1, Integer::sum);
  }

  /**
   * Counts a run of an item that ended without an answer and returns the number so far. It is not
   * counted as an attempt.
   */
  int countInterruption(BatchItem item) {
    return interruptions.merge(item.index(), 1, Integer::sum);
  }

  /**
   * Counts a broken connection at an endpoint that goes on, and returns the number so far. Those
   * that follow a counted one within {@link RunnerDecisions#BURST_NANOS} count as the same one.
   */
  int countBreak(BatchItem item, long nowNanos) {
    Breaks known = breaks.get(item.index());
    if (known == null || nowNanos - known.lastCountedNanos() >= RunnerDecisions.BURST_NANOS) {
      known = new Breaks(known == null ? 1 : known.count() + 1, nowNanos);
      breaks.put(item.index(), known);
    }
    return known.count();
  }

  Set<RunningItem> running() {
    return running;
  }

  /** Adds a result to those that are to be committed; ignored after a cancellation. */
  void addPendingResult(ItemResult result, long nowNanos) {
    if (cancelled) {
      return;
    }
    if (pending.isEmpty()) {
      pendingSinceNanos = nowNanos;
    }
    pending.add(result);
    pendingBytes += result.bytes();
  }

  int pendingResultCount() {
    return pending.size();
  }

  long pendingBytes() {
    return pendingBytes;
  }

  /** Returns as many pending results as fit into a chunk, at least one if there are any. */
  List<ItemResult> resultsForNextChunk() {
    List<ItemResult> chunk = new ArrayList<>();
    long bytes = 0;
    for (ItemResult result : pending) {
      bytes += result.bytes();
      if (!chunk.isEmpty() && bytes > MAX_CHUNK_BYTES) {
        break;
      }
      chunk.add(result);
    }
    return chunk;
  }

  boolean hasPendingResultsOlderThan(long nanos, long nowNanos) {
    return !pending.isEmpty() && nowNanos - pendingSinceNanos >= nanos;
  }

  /** Returns whether no item waits or runs; all results are then committed or pending. */
  boolean hasNoOpenItems() {
    return waiting.isEmpty() && delayed.isEmpty() && running.isEmpty();
  }

  boolean isStoreOperationAllowed(long nowNanos) {
    return !storeOperationRunning && nowNanos - nextStoreOperationNanos >= 0;
  }

  void beginStoreOperation() {
    storeOperationRunning = true;
  }

  /** Ends a store operation; the next one may start at the given time or later. */
  void endStoreOperation(long nextStartNanos) {
    storeOperationRunning = false;
    nextStoreOperationNanos = nextStartNanos;
  }

  /** Returns whether the segment must be read again because the outcome of a write is unknown. */
  boolean needsReload() {
    return reloadNeeded;
  }

  void requireReload() {
    reloadNeeded = true;
  }

  /**
   * Replaces the segment by its stored version. Removes and returns the pending results that the
   * stored version already contains.
   */
  List<ItemResult> replaceSegment(Segment stored, long storedVersion, long nowNanos) {
    segment = stored;
    version = storedVersion;
    reloadNeeded = false;
    List<ItemResult> committed =
        pending.stream().filter(result -> stored.state(result.item()).isEnded()).toList();
    pending.removeAll(committed);
    pendingBytes = pending.stream().mapToLong(ItemResult::bytes).sum();
    pendingSinceNanos = nowNanos;
    return committed;
  }

  boolean isCancelled() {
    return cancelled;
  }

  /** Stops all work on the segment and discards uncommitted results. */
  void cancel() {
    cancelled = true;
    waiting.clear();
    delayed.clear();
    pending.clear();
    pendingBytes = 0;
    List.copyOf(running).forEach(RunningItem::cancel);
  }

  void recordProgress(long nowNanos) {
    lastProgressNanos = nowNanos;
  }

  /**
   * Returns whether the segment makes no progress: items wait, but none runs, will be ready later,
   * or may have run at an endpoint within the given time.
   */
  boolean isStalledFor(long nanos, long nowNanos) {
    return running.isEmpty()
        && delayed.stream().allMatch(each -> nowNanos - each.readyAtNanos() >= 0)
        && !(waiting.isEmpty() && delayed.isEmpty())
        && nowNanos - lastProgressNanos >= nanos;
  }

  /** Number of bursts of broken connections, and the start of the last one. */
  private record Breaks(int count, long lastCountedNanos) {}

  /** An item and the earliest time of its next attempt. */
  private record DelayedItem(BatchItem item, long readyAtNanos) implements Comparable<DelayedItem> {
    @Override
    public int compareTo(DelayedItem other) {
      return Long.signum(readyAtNanos - other.readyAtNanos);
    }
  }
}
