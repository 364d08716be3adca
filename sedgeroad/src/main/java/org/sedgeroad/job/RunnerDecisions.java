package org.sedgeroad.job;

import java.util.Collection;
import java.util.function.Predicate;

/** Decisions of the runner on held segments, without I/O. */
final class RunnerDecisions {
  static final int MAX_ITEMS_PER_MARK = 16;
  static final int MAX_ATTEMPTS = 3;

  /** An endpoint that refuses because it is busy did not run the item; such tries count less. */
  static final int MAX_REFUSALS = 20;

  private static final int COMMIT_ITEMS = 32;
  private static final long COMMIT_BYTES = HeldSegment.MAX_CHUNK_BYTES / 2;
  private static final long COMMIT_DELAY_NANOS = 2_000_000_000L;

  /** A segment without progress for this long is given back, as this instance can't serve it. */
  private static final long IDLE_RELEASE_NANOS = 10_000_000_000L;

  /** Finished results held in memory while the store can't take them; sending stops beyond. */
  private static final long MAX_PENDING_BYTES = 32L * 1024 * 1024;

  private static final long FIRST_RETRY_DELAY_NANOS = 500_000_000L;
  private static final long MAX_RETRY_DELAY_NANOS = 30_000_000_000L;

  private RunnerDecisions() {}

  // -----------------------------------------------------------------------

  /**
   * Returns what a segment needs next.
   *
   * @param hasRoom whether an endpoint has room for an item; items are marked as started only then,
   *     since a marked item ends as outcome-unknown if this instance is lost
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
    return segment.isIdle(IDLE_RELEASE_NANOS, nowNanos) && segment.pendingItems() == 0
        ? StoreAction.RELEASE
        : StoreAction.NONE;
  }

  private static boolean mustCommit(HeldSegment segment, long nowNanos, boolean stopping) {
    return segment.pendingItems() >= COMMIT_ITEMS
        || segment.pendingBytes() >= COMMIT_BYTES
        || segment.hasPendingOlderThan(COMMIT_DELAY_NANOS, nowNanos)
        || (segment.pendingItems() > 0
            && (segment.hasNoOpenItems() || (stopping && segment.running().isEmpty())));
  }

  /** Returns whether results may be added to those that wait for the store. */
  static boolean hasRoomForResults(Collection<HeldSegment> segments) {
    long bytes = 0;
    for (HeldSegment segment : segments) {
      bytes += segment.pendingBytes();
    }
    return bytes < MAX_PENDING_BYTES;
  }

  /** Returns the pause before the next attempt of an item. */
  static long retryDelayNanos(int tries) {
    return Math.min(MAX_RETRY_DELAY_NANOS, FIRST_RETRY_DELAY_NANOS << Math.min(tries - 1, 10));
  }
}
