package org.sedgeroad.job;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;

/** Commits, counts and releases held segments. Used by the runner's thread only. */
final class SegmentCommitter {
  private static final long RETRY_NANOS = 500_000_000L;

  /** Time after a release in which this instance does not claim the segment again. */
  private static final long RECLAIM_DELAY_NANOS = 10_000_000_000L;

  private final RunnerState state;
  private final SegmentStore segments;
  private final BackgroundCalls calls;

  SegmentCommitter(RunnerState state, SegmentStore segments, BackgroundCalls calls) {
    this.state = state;
    this.segments = segments;
    this.calls = calls;
  }

  /**
   * Starts the next store operation of each held segment.
   *
   * @param hasFreeSlot whether an endpoint has a free slot for an item
   */
  void schedule(Predicate<BatchItem> hasFreeSlot) {
    long now = state.now();
    for (HeldSegment held : state.heldSegments()) {
      startAction(
          held,
          RunnerDecisions.nextAction(held, now, state.isStopping(), hasFreeSlot),
          hasFreeSlot);
    }
  }

  private void startAction(HeldSegment held, StoreAction action, Predicate<BatchItem> hasFreeSlot) {
    Segment segment = held.segment();
    long version = held.version();
    switch (action) {
      case RELOAD -> startUpdate(held, () -> segments.reload(segment.key()));
      case CANCEL_OPEN_ITEMS ->
          startUpdate(held, () -> segments.cancelOpenItems(segment, version, held.items()));
      case COMMIT -> {
        List<ItemResult> results = held.resultsForNextChunk();
        startUpdate(held, () -> segments.commit(segment, version, results));
      }
      case MARK_STARTED -> {
        List<BatchItem> items =
            held.itemsToMarkStarted(hasFreeSlot, RunnerDecisions.MAX_ITEMS_PER_MARK);
        startUpdate(held, () -> segments.markStarted(segment, version, items));
      }
      case RELEASE -> {
        List<BatchItem> notRun = held.startedButNotRun();
        startUpdate(held, () -> segments.release(segment, version, notRun));
      }
      case COUNT ->
          startStoreCall(
              held, () -> segments.countFinished(segment), ok -> handleCountResult(held, ok));
      default -> {
        // StoreAction.NONE needs no store call.
      }
    }
  }

  private void startUpdate(HeldSegment held, Supplier<CommitResult> operation) {
    startStoreCall(held, operation, result -> handleCommitResult(held, result));
  }

  private <T> void startStoreCall(HeldSegment held, Supplier<T> operation, Consumer<T> done) {
    held.beginStoreOperation();
    calls.call(
        operation,
        result -> {
          if (state.holds(held)) {
            held.endStoreOperation(state.now());
            done.accept(result);
          }
        },
        failure -> {
          state.dependencies().log().log(LogEvent.REQUEST_ERROR, EventField.of("cause", failure));
          held.requireReload();
          retryLater(held);
        });
  }

  private void handleCommitResult(HeldSegment held, CommitResult result) {
    if (result instanceof CommitResult.Committed committed) {
      List<ItemResult> ended =
          held.replaceSegment(committed.segment(), committed.version(), state.now());
      if (!ended.isEmpty()) {
        state.dependencies().commitListener().committed(held.job(), ended);
      }
    } else if (result instanceof CommitResult.SegmentLost) {
      state
          .dependencies()
          .log()
          .log(LogEvent.SEGMENT_LOST, EventField.of("segment", held.key().toName()));
      dropAndPause(held, ClaimPlanner.CLAIM_RETRY_NANOS);
    } else if (result instanceof CommitResult.Released) {
      dropAndPause(held, RECLAIM_DELAY_NANOS);
    } else if (result instanceof CommitResult.JobCancelled) {
      held.cancel();
    } else {
      if (result instanceof CommitResult.Uncertain) {
        held.requireReload();
      }
      retryLater(held);
    }
  }

  private void handleCountResult(HeldSegment held, boolean counted) {
    if (counted) {
      state.drop(held);
    } else {
      retryLater(held);
    }
  }

  private void dropAndPause(HeldSegment held, long pauseNanos) {
    state.drop(held);
    state.planner().retryAt(held.key(), state.now() + pauseNanos);
  }

  /** Retries after a random delay, since many instances update the same job object. */
  private void retryLater(HeldSegment held) {
    long spread = ThreadLocalRandom.current().nextLong(RETRY_NANOS / 2);
    held.endStoreOperation(state.now() + RETRY_NANOS / 2 + spread);
  }
}
