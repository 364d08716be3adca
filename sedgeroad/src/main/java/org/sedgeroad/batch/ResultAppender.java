package org.sedgeroad.batch;

import java.util.List;
import java.util.function.Consumer;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.store.WriteOutcome;

/** Appends finished results to the store, one chunk of a job at a time. */
final class ResultAppender {
  /** Longest pause after a chunk that the store rejects, in milliseconds. */
  private static final long MAXIMUM_REJECTION_PAUSE_MILLIS = 5_000;

  /**
   * Longest pause after a chunk whose outcome is unknown, in milliseconds. Store outages last for
   * seconds, and results should be listed soon after them.
   */
  private static final long MAXIMUM_UNKNOWN_PAUSE_MILLIS = 1_000;

  private final BatchDependencies dependencies;
  private final Consumer<OwnedJob> onUnstoredResults;
  private final Consumer<OwnedJob> onConflict;

  /**
   * Creates an appender.
   *
   * @param dependencies dependencies
   * @param onUnstoredResults receives a job that has results left after an append
   * @param onConflict receives a job of which another instance has stored results
   */
  ResultAppender(
      BatchDependencies dependencies,
      Consumer<OwnedJob> onUnstoredResults,
      Consumer<OwnedJob> onConflict) {
    this.dependencies = dependencies;
    this.onUnstoredResults = onUnstoredResults;
    this.onConflict = onConflict;
  }

  /** Starts appending the unstored results of a job unless an append is in progress. */
  void append(OwnedJob job) {
    List<JobResult> chunk = nextChunk(job);
    if (chunk.isEmpty() || job.isAppending()) {
      return;
    }
    job.setAppending(true);
    int number = job.chunkCount();
    dependencies
        .storeWorkers()
        .execute(
            () -> {
              WriteOutcome outcome = dependencies.store().append(job.head().id(), number, chunk);
              dependencies.loop().execute(() -> appended(job, chunk, outcome));
            });
  }

  private void appended(OwnedJob job, List<JobResult> chunk, WriteOutcome outcome) {
    job.setAppending(false);
    if (outcome instanceof WriteOutcome.Written) {
      job.addChunk(chunk);
      dependencies.log().log(
          LogEvent.RESULTS_STORED,
          EventField.of("job", job.head().id()),
          EventField.of("results", chunk.size()),
          EventField.of("listed", job.storedResults().size()),
          EventField.of("total", job.items().size()));
    } else if (outcome instanceof WriteOutcome.Lost lost && lost.current() != null) {
      // Another instance also runs the job and has stored a chunk under this number first.
      job.addChunk(JobStore.decodeChunk(lost.current()));
      dependencies.log().log(LogEvent.SEGMENT_LOST, EventField.of("job", job.head().id()));
      onConflict.accept(job);
    } else {
      notStored(job, chunk, outcome);
      dependencies.log().log(
          LogEvent.STORE_UNAVAILABLE,
          EventField.of("job", job.head().id()),
          EventField.of("results", chunk.size()),
          EventField.of("outcome", outcome));
      onUnstoredResults.accept(job);
      return;
    }
    if (!job.unstoredResults().isEmpty()) {
      onUnstoredResults.accept(job);
    }
  }

  private void notStored(OwnedJob job, List<JobResult> chunk, WriteOutcome outcome) {
    long now = dependencies.clock().nanos();
    if (outcome instanceof WriteOutcome.Rejected rejected) {
      job.chunkNotStored(chunk, MAXIMUM_REJECTION_PAUSE_MILLIS, now);
      if (chunk.size() == 1) {
        job.giveUp(chunk.get(0), "not stored: " + rejected.reason());
      }
    } else if (outcome instanceof WriteOutcome.Unknown) {
      job.chunkNotStored(chunk, MAXIMUM_UNKNOWN_PAUSE_MILLIS, now);
    }
  }

  private List<JobResult> nextChunk(OwnedJob job) {
    List<JobResult> unstored = job.unstoredResults();
    int count = Math.min(unstored.size(), job.maximumChunkResults());
    return dependencies.store().contentLimit().first(unstored.subList(0, count), JsonSize::of);
  }
}
