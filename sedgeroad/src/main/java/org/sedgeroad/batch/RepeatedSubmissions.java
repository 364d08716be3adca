package org.sedgeroad.batch;

import java.util.Optional;
import java.util.function.Consumer;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;

/**
 * Answers submissions that can't be accepted now. A job that was accepted before is accepted again,
 * because its client may have got no answer. Must be used on the event loop.
 */
final class RepeatedSubmissions {
  /**
   * Time after which a client may submit a job again whose head could not be read, in milliseconds.
   */
  private static final long STORE_RETRY_MILLIS = 500;

  private final BatchDependencies context;
  private final JobHeadCache jobHeads;
  private final HeadReader headReader;

  RepeatedSubmissions(BatchDependencies context, JobHeadCache jobHeads, HeadReader headReader) {
    this.context = context;
    this.jobHeads = jobHeads;
    this.headReader = headReader;
  }

  /** Refuses a job that exceeds the limit unless it was accepted before. */
  void answerOverLimit(
      JobSubmission submission, long waiting, long limit, Consumer<AcceptResult> result) {
    headReader.read(
        submission.id(),
        failure -> {
          AcceptResult outcome = notFound(failure, new AcceptResult.OverLimit());
          context.log().log(
              LogEvent.JOB_REFUSED,
              EventField.of("job", submission.id()),
              EventField.of("waiting_tokens", waiting),
              EventField.of("tokens", submission.tokens()),
              EventField.of("limit", limit),
              EventField.of("outcome", outcome));
          result.accept(outcome);
        },
        head -> {
          if (head.isVisibleTo(submission.workspace())) {
            acceptAgain(head, result);
          } else {
            result.accept(new AcceptResult.NoRoute());
          }
        });
  }

  /** Refuses a job that no route accepts unless it was accepted before, at the same path. */
  void answerWithoutRoute(JobSubmission submission, Consumer<AcceptResult> result) {
    Consumer<JobHead> found =
        head -> {
          if (head.isOf(submission)) {
            acceptAgain(head, result);
          } else {
            result.accept(new AcceptResult.NoRoute());
          }
        };
    Optional<JobHeadCache.CachedJob> cached = jobHeads.find(submission.id());
    if (cached.isPresent()) {
      found.accept(cached.get().head());
    } else {
      headReader.read(
          submission.id(),
          failure -> result.accept(notFound(failure, new AcceptResult.NoRoute())),
          found);
    }
  }

  /** Returns a refusal for good if the store confirms that there is no such job. */
  private static AcceptResult notFound(ReadResult failure, AcceptResult refusal) {
    return failure instanceof ReadResult.Absent
        ? refusal
        : new AcceptResult.NotAccepted("job head not read", STORE_RETRY_MILLIS);
  }

  private void acceptAgain(JobHead head, Consumer<AcceptResult> result) {
    long version = jobHeads.find(head.id()).map(JobHeadCache.CachedJob::version).orElse(0L);
    result.accept(new AcceptResult.Accepted(head, version, false));
  }
}
