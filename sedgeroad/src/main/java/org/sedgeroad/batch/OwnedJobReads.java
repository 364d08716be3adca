package org.sedgeroad.batch;

import java.util.function.Consumer;

/** Reads of results of jobs that this instance runs. Used on the event loop. */
final class OwnedJobReads {
  private final BatchDependencies context;
  private final ResultLogRefresher logRefresher;

  OwnedJobReads(BatchDependencies context) {
    this.context = context;
    this.logRefresher = new ResultLogRefresher(context);
  }

  /**
   * Reads the results of a job.
   *
   * @param job a job that is run here
   * @param after position of the first result
   * @param deadlineNanos monotonic time until which the read waits for a result, in nanoseconds
   * @param result receives the results
   */
  void read(OwnedJob job, int after, long deadlineNanos, Consumer<ReadResult> result) {
    boolean upToDate = job.storedResults().size() > after || job.isComplete() || job.isAppending();
    if (!job.mayHaveOtherWriters() || upToDate) {
      answerOrAwaitChunk(job, after, deadlineNanos, result);
      return;
    }
    logRefresher.refresh(
        job,
        read -> {
          if (read || job.storedResults().size() > after) {
            answerOrAwaitChunk(job, after, deadlineNanos, result);
          } else {
            // A client may have read a result that follows, so it can't be said that there is none.
            result.accept(new ReadResult.Unavailable("result log not read"));
          }
        });
  }

  private void answerOrAwaitChunk(
      OwnedJob job, int after, long deadlineNanos, Consumer<ReadResult> result) {
    boolean answerNow = job.storedResults().size() > after || job.isComplete() || job.isEnded();
    if (answerNow || context.clock().hasPassed(deadlineNanos)) {
      result.accept(page(job, after));
      return;
    }
    FirstValueConsumer<ReadResult> once = new FirstValueConsumer<>(result);
    Runnable answer = () -> once.accept(page(job, after));
    job.awaitChunk(answer);
    context.loop().scheduleAt(deadlineNanos, answer);
  }

  private static ReadResult page(OwnedJob job, int after) {
    boolean nothingFollows = job.storedResults().size() <= after;
    if (nothingFollows && job.isAppending() && job.mayHaveOtherWriters()) {
      // Another writer's chunk may follow; the result of the append shows it.
      return new ReadResult.Unavailable("results are being stored");
    }
    return new ReadResult.Page(ResultPage.of(job.items().size(), job.storedResults(), after));
  }
}
