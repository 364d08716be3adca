package org.sedgeroad.batch;

import java.util.function.Consumer;

/** Reads the head of a job as it is in the store now. Used on the event loop. */
@FunctionalInterface
interface HeadReader {
  /**
   * Reads a head.
   *
   * @param job id of the job
   * @param failure receives the result if the job does not exist or can't be read
   * @param task receives the head
   */
  void read(String job, Consumer<ReadResult> failure, Consumer<JobHead> task);
}
