package org.sedgeroad.job;

import java.util.Collection;
import java.util.function.Predicate;

/** Decides what to do next with held segments, without any I/O. */
final class RunnerDecisions {
  /** Maximum number of items that one store write marks as started. */
  static final int MAX_ITEMS_PER_MARK = 16;

  /** Number of failed attempts after which an item fails. */
  static final int MAX_ATTEMPTS = 3;

  /**
   * Number of refusals after which an item fails. It is higher than {@link #MAX_ATTEMPTS}, because
   * a busy endpoint that refuses an item has not run it.
   */
  static final int MAX_REFUSALS = 20;

  /**
   * Number of pending results at which they are committed. A commit also starts at their size
   * {@link #COMMIT_BYTES} or their age {@link #COMMIT_DELAY_NANOS}.
   */
  private static final int COMMIT_ITEMS = 32;

  private static final long COMMIT_BYTES = HeldSegment.MAX_CHUNK_BYTES / 2;
  private static final long COMMIT_DELAY_NANOS = 2_000_000_000L;

  /**
   * Time without progress after which a segment is released as one that can't be processed here.
   */
  private static final long IDLE_RELEASE_NANOS = 10_000_000_000L;

  /** Size of uncommitted results above which no more items are sent; bounds memory in outages. */
  private static final long MAX_PENDING_BYTES = 32L * 1024 * 1024;

  private static final long FIRST_RETRY_DELAY_NANOS = 500_000_000L;
  private static final long MAX_RETRY_DELAY_NANOS = 30_000_000_000L;

  /** Time within which the broken connections of an item count as one failure. */
  static final long BURST_NANOS = 30_000_000_000L;

  private static final long FIRST_INTERRUPTION_DELAY_NANOS = 3_000_000_000L;
  private static final long MAX_INTERRUPTION_DELAY_NANOS = 8_000_000_000L;

  private RunnerDecisions() {}

  /**
   * Returns the store operation that a segment needs next.
   *
   * @param hasFreeSlot whether an endpoint has a free slot for an item; items are marked as started
   *     only then, since the outcome of a marked item is unknown if this instance is lost
   */
  static StoreAction nextAction(
      HeldSegment segment, long nowNanos, boolean stopping, Predicate<BatchItem> hasFreeSlot) {
    if (!segment.isStoreOperationAllowed(nowNanos)) {
      return StoreAction.NONE;
    }
    if (segment.needsReload()) {
      return StoreAction.RELOAD;
    }
    if (segment.segment().isFinished()) {
      return StoreAction.COUNT;
    }
    boolean noneRunning = segment.running().isEmpty();
    if (segment.isCancelled()) {
      return noneRunning ? StoreAction.CANCEL_OPEN_ITEMS : StoreAction.NONE;
    }
    if (mustCommit(segment, nowNanos, stopping)) {
      return StoreAction.COMMIT;
    }
    if (stopping) {
      return noneRunning ? StoreAction.RELEASE : StoreAction.NONE;
    }
    if (!segment.itemsToMarkStarted(hasFreeSlot, 1).isEmpty()) {
      return StoreAction.MARK_STARTED;
    }
    return segment.isStalledFor(IDLE_RELEASE_NANOS, nowNanos) && segment.pendingResultCount() == 0
        ? StoreAction.RELEASE
        : StoreAction.NONE;
  }

  private static boolean mustCommit(HeldSegment segment, long nowNanos, boolean stopping) {
    return segment.pendingResultCount() >= COMMIT_ITEMS
        || segment.pendingBytes() >= COMMIT_BYTES
        || segment.hasPendingResultsOlderThan(COMMIT_DELAY_NANOS, nowNanos)
        || (segment.pendingResultCount() > 0
            && (segment.hasNoOpenItems() || (stopping && segment.running().isEmpty())));
  }

  /** Returns whether the uncommitted results of all segments are below the memory limit. */
  static boolean hasRoomForResults(Collection<HeldSegment> segments) {
    long bytes = 0;
    for (HeldSegment segment : segments) {
      bytes += segment.pendingBytes();
    }
    return bytes < MAX_PENDING_BYTES;
  }

  /**
   * Returns the delay in nanoseconds before an item runs again whose run ended without an answer.
   *
   * @param interruptions number of such runs, at least 1
   * @param fraction number from 0 (inclusive) to 1 (exclusive) by which the delays of items that
   *     were interrupted together differ, so that they do not run together again
   */
  static long interruptionDelayNanos(int interruptions, double fraction) {
    long delay =
        Math.min(
            MAX_INTERRUPTION_DELAY_NANOS,
            FIRST_INTERRUPTION_DELAY_NANOS << Math.min(interruptions - 1, 10));
    return delay + (long) (fraction * delay / 2);
  }

  /** Returns the delay in nanoseconds before the next try; doubles each time up to a limit. */
  static long retryDelayNanos(int tries) {
    return Math.min(MAX_RETRY_DELAY_NANOS, FIRST_RETRY_DELAY_NANOS << Math.min(tries - 1, 10));
  }
}
