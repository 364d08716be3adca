package org.sedgeroad.batch;

import java.util.concurrent.CompletableFuture;

/** Asks the instance that runs a job. No call blocks; the futures complete normally. */
public interface PeerJobs {

  /** Reads results from a position on, waiting for one at most until a monotonic deadline. */
  CompletableFuture<ReadResult> results(String owner, String job, int after, long deadlineNanos);

  /** Reads the body of an item. */
  CompletableFuture<ReadResult> body(String owner, String job, String item);

  /** Tells that a client has ended a job. */
  CompletableFuture<ReadResult> ended(String owner, String job);
}
