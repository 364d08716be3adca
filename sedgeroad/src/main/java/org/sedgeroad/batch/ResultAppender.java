package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.store.WriteOutcome;

/** Appends the finished results of jobs to the store, one chunk of a job at a time. */
final class ResultAppender {
  /** Bound on the output in one chunk, in characters; an object may have 1 MB. */
  private static final int CHUNK_CHARACTERS = 700_000;

  private final BatchParts parts;
  private final Consumer<OwnedJob> onFailure;

  ResultAppender(BatchParts parts, Consumer<OwnedJob> onFailure) {
    this.parts = parts;
    this.onFailure = onFailure;
  }

  /** Starts to append the finished results of a job, unless that is in progress. */
  void append(OwnedJob job) {
    List<JobResult> chunk = nextChunk(job.finished());
    if (chunk.isEmpty() || job.isAppending()) {
      return;
    }
    job.setAppending(true);
    int number = job.chunks();
    parts
        .storeWorkers()
        .execute(
            () -> {
              WriteOutcome outcome = parts.store().append(job.head().id(), number, chunk);
              parts.loop().execute(() -> appended(job, chunk, outcome));
            });
  }

  private void appended(OwnedJob job, List<JobResult> chunk, WriteOutcome outcome) {
    job.setAppending(false);
    if (outcome instanceof WriteOutcome.Written) {
      job.addChunk(chunk);
      parts.log().log(
          LogEvent.RESULTS_STORED,
          EventField.of("job", job.head().id()),
          EventField.of("results", chunk.size()),
          EventField.of("listed", job.listed().size()),
          EventField.of("total", job.items().size()));
    } else if (outcome instanceof WriteOutcome.Lost lost && lost.current() != null) {
      // Another instance runs the job, too, and was first: its chunk has this position.
      job.addChunk(JobStore.decodeChunk(lost.current()));
      parts.log().log(LogEvent.SEGMENT_LOST, EventField.of("job", job.head().id()));
    } else {
      parts.log().log(
          LogEvent.STORE_UNAVAILABLE,
          EventField.of("job", job.head().id()),
          EventField.of("outcome", outcome));
      onFailure.accept(job);
      return;
    }
    if (!job.finished().isEmpty()) {
      onFailure.accept(job);
    }
  }

  private static List<JobResult> nextChunk(List<JobResult> finished) {
    List<JobResult> chunk = new ArrayList<>();
    int characters = 0;
    for (JobResult result : finished) {
      characters += result.output().length();
      if (!chunk.isEmpty() && characters > CHUNK_CHARACTERS) {
        break;
      }
      chunk.add(result);
    }
    return chunk;
  }
}
