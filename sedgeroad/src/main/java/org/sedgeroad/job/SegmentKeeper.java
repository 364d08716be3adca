package org.sedgeroad.job;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;

/** Commits, counts and gives back held segments. Used by the runner's thread only. */
final class SegmentKeeper {
  private static final long RETRY_NANOS = 500_000_000L;

  /** Time in which an instance does not claim a segment again that it has given back. */
  private static final long RELEASED_NANOS = 10_000_000_000L;

  private final RunnerState state;
  private final SegmentStore segments;
  private final BackgroundCalls calls;

  SegmentKeeper(RunnerState state, SegmentStore segments, BackgroundCalls calls) {
    this.state = state;
    this.segments = segments;
    this.calls = calls;
  }

  // -----------------------------------------------------------------------

  /**
   * Starts the store operation that each segment needs.
   *
   * @param hasRoom whether an endpoint has room for an item
   */
  void schedule(Predicate<BatchItem> hasRoom) {
    long now = state.now();
    for (HeldSegment held : state.held()) {
      start(held, RunnerDecisions.nextAction(held, now, state.isStopping(), hasRoom), hasRoom);
    }
  }

  private void start(HeldSegment held, StoreAction action, Predicate<BatchItem> hasRoom) {
    Segment segment = held.segment();
    long version = held.version();
    switch (action) {
      case RELOAD -> update(held, () -> segments.reload(segment.key()));
      case CANCEL_REST -> update(held, () -> segments.cancelRest(segment, version, held.items()));
      case COMMIT -> {
        List<ItemResult> batch = held.nextBatch();
        update(held, () -> segments.commit(segment, version, batch));
      }
      case MARK -> {
        List<BatchItem> unmarked = held.unmarked(hasRoom, RunnerDecisions.MARK_ITEMS);
        update(held, () -> segments.markStarted(segment, version, unmarked));
      }
      case RELEASE -> {
        List<BatchItem> unsent = held.markedUnsent();
        update(held, () -> segments.release(segment, version, unsent));
      }
      case COUNT -> call(held, () -> segments.countFinished(segment), ok -> counted(held, ok));
      default -> {
        // Nothing to store.
      }
    }
  }

  private void update(HeldSegment held, Supplier<CommitResult> operation) {
    call(held, operation, result -> updated(held, result));
  }

  private <T> void call(HeldSegment held, Supplier<T> operation, Consumer<T> done) {
    held.begin();
    calls.call(
        operation,
        result -> {
          if (state.holds(held)) {
            held.end(state.now());
            done.accept(result);
          }
        },
        failure -> {
          state.parts().log().log(LogEvent.REQUEST_ERROR, EventField.of("cause", failure));
          held.markUncertain();
          retryLater(held);
        });
  }

  // -----------------------------------------------------------------------

  private void updated(HeldSegment held, CommitResult result) {
    if (result instanceof CommitResult.Committed committed) {
      List<ItemResult> ended = held.replaced(committed.segment(), committed.version(), state.now());
      if (!ended.isEmpty()) {
        state.parts().commits().committed(held.job(), ended);
      }
    } else if (result instanceof CommitResult.SegmentLost) {
      state.parts().log().log(LogEvent.SEGMENT_LOST, EventField.of("segment", held.key().toName()));
      forget(held, ClaimPlanner.RETRY_NANOS);
    } else if (result instanceof CommitResult.Released) {
      forget(held, RELEASED_NANOS);
    } else if (result instanceof CommitResult.JobCancelled) {
      held.cancel();
    } else {
      if (result instanceof CommitResult.Uncertain) {
        held.markUncertain();
      }
      retryLater(held);
    }
  }

  private void counted(HeldSegment held, boolean counted) {
    if (counted) {
      state.drop(held);
    } else {
      retryLater(held);
    }
  }

  private void forget(HeldSegment held, long pauseNanos) {
    state.drop(held);
    state.planner().retryAt(held.key(), state.now() + pauseNanos);
  }

  /** Spreads the retries, since many instances count segments in the same job. */
  private void retryLater(HeldSegment held) {
    long spread = ThreadLocalRandom.current().nextLong(RETRY_NANOS / 2);
    held.end(state.now() + RETRY_NANOS / 2 + spread);
  }
}
