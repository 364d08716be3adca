package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.store.WriteOutcome;

/** Appends finished results to the store, one chunk of a job at a time. */
final class ResultAppender {
  /** Maximum output in one chunk, in characters. A store object may have 1 MB. */
  private static final int MAXIMUM_CHUNK_CHARACTERS = 700_000;

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
    List<JobResult> chunk = nextChunk(job.unstoredResults());
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
      dependencies.log().log(
          LogEvent.STORE_UNAVAILABLE,
          EventField.of("job", job.head().id()),
          EventField.of("outcome", outcome));
      onUnstoredResults.accept(job);
      return;
    }
    if (!job.unstoredResults().isEmpty()) {
      onUnstoredResults.accept(job);
    }
  }

  private static List<JobResult> nextChunk(List<JobResult> unstored) {
    List<JobResult> chunk = new ArrayList<>();
    int characters = 0;
    for (JobResult result : unstored) {
      characters += result.output().length();
      if (!chunk.isEmpty() && characters > MAXIMUM_CHUNK_CHARACTERS) {
        break;
      }
      chunk.add(result);
    }
    return chunk;
  }
}
