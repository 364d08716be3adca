package org.sedgeroad.batch;

import java.util.concurrent.CompletableFuture;

/**
 * Sends requests about a job to the instance that owns it. No call blocks, and the futures never
 * complete exceptionally.
 */
public interface PeerJobs {

  /**
   * Reads results, starting at position {@code after}. Waits for a result until a deadline, in
   * nanoseconds of the monotonic clock, if there is none yet.
   */
  CompletableFuture<ReadResult> results(String owner, String job, int after, long deadlineNanos);

  /** Reads the request body of an item. */
  CompletableFuture<ReadResult> body(String owner, String job, String item);

  /** Notifies the owner that a client has ended a job. */
  CompletableFuture<ReadResult> notifyEnded(String owner, String job);
}
