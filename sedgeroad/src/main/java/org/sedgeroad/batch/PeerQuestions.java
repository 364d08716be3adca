package org.sedgeroad.batch;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Asks and notifies the owners of jobs. An owner may have failed, be cut off, or have lost the job
 * to another instance. Must be used on the event loop.
 */
final class PeerQuestions {
  /** Delay before a notification that got no answer is sent again, in milliseconds. */
  private static final long NOTICE_RETRY_MILLIS = 400;

  /** Number of times that a notification is sent; an instance that freezes does so for seconds. */
  private static final int NOTICE_ATTEMPTS = 50;

  private final BatchDependencies context;
  private final PeerJobs peerJobs;
  private final HeadReader headReader;

  PeerQuestions(BatchDependencies context, PeerJobs peerJobs, HeadReader headReader) {
    this.context = context;
    this.peerJobs = peerJobs;
    this.headReader = headReader;
  }

  /** Tells the owner that its job has ended, until it answers. */
  void notifyEnded(String owner, String job) {
    notifyUntilAnswered(NOTICE_ATTEMPTS, () -> peerJobs.notifyEnded(owner, job));
  }

  /**
   * Tells an instance that it has lost a job, or owns a job that it may not know, until it answers.
   */
  void notifyHeadChanged(String instance, String job) {
    notifyUntilAnswered(NOTICE_ATTEMPTS, () -> peerJobs.notifyHeadChanged(instance, job));
  }

  /**
   * Forwards the owner's answer if it has the expected type. Otherwise the head is read again, and
   * a new owner is asked once; if that fails too, the store is read.
   */
  void answerFromOwnerOrStore(
      JobHead head,
      Function<String, CompletableFuture<ReadResult>> askOwner,
      Class<? extends ReadResult> expected,
      Consumer<ReadResult> result,
      Consumer<JobHead> readStore) {
    askOwner(
        head.owner(),
        askOwner,
        expected,
        result,
        () ->
            headReader.read(
                head.id(),
                result,
                current -> {
                  boolean moved =
                      !current.owner().equals(head.owner())
                          && !current.owner().equals(context.instance());
                  if (moved) {
                    askOwner(
                        current.owner(),
                        askOwner,
                        expected,
                        result,
                        () -> readStore.accept(current));
                  } else {
                    readStore.accept(current);
                  }
                }));
  }

  private void askOwner(
      String owner,
      Function<String, CompletableFuture<ReadResult>> question,
      Class<? extends ReadResult> expected,
      Consumer<ReadResult> result,
      Runnable onFailure) {
    question
        .apply(owner)
        .thenAccept(
            answer ->
                context
                    .loop()
                    .execute(
                        () -> {
                          if (expected.isInstance(answer)) {
                            result.accept(answer);
                          } else {
                            onFailure.run();
                          }
                        }));
  }

  /**
   * Sends a notification until its receiver answers, with pauses of {@link #NOTICE_RETRY_MILLIS}.
   * The receiver may be frozen or cut off; if it never answers, it learns of the change when it
   * stores results.
   */
  private void notifyUntilAnswered(
      int attempts, Supplier<CompletableFuture<ReadResult>> notification) {
    notification
        .get()
        .thenAccept(
            answer -> {
              if (!(answer instanceof ReadResult.Ended) && attempts > 1) {
                context
                    .loop()
                    .scheduleAt(
                        context.clock().deadlineAfterMillis(NOTICE_RETRY_MILLIS),
                        () -> notifyUntilAnswered(attempts - 1, notification));
              }
            });
  }
}
