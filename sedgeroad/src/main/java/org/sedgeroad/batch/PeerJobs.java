package org.sedgeroad.batch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sedgeroad.store.StoredObject;

/**
 * Sends requests about a job to the instance that owns it. No call blocks, and the futures never
 * complete exceptionally.
 */
public interface PeerJobs {

  /**
   * Reads the results that follow the first {@code after} results. Waits for a result until a
   * deadline, in nanoseconds of the monotonic clock, if there is none yet.
   */
  CompletableFuture<ReadResult> results(String owner, String job, int after, long deadlineNanos);

  /**
   * Reads the object that contains the head of a job, as the instance knows it that watches all
   * heads for this one; empty if that one does not know the job or does not answer.
   */
  CompletableFuture<Optional<StoredObject>> head(String job);

  /** Reads the request body of an item. */
  CompletableFuture<ReadResult> body(String owner, String job, String item);

  /**
   * Notifies an instance that a job has or had it as its owner, so that it reads the head again.
   */
  CompletableFuture<ReadResult> notifyHeadChanged(String instance, String job);

  /** Notifies the owner that a client has marked a job as ended, so that it stops the items. */
  CompletableFuture<ReadResult> notifyEnded(String owner, String job);
}
