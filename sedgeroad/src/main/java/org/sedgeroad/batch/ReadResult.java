package org.sedgeroad.batch;

/** Outcome of a read of a job. */
public sealed interface ReadResult {

  /**
   * Results of the job.
   *
   * @param page the results
   */
  record Page(ResultPage page) implements ReadResult {}

  /**
   * The body of an item.
   *
   * @param body the body; must not be modified
   */
  record Body(byte[] body) implements ReadResult {}

  /** The job is ended. */
  record Ended() implements ReadResult {}

  /** There is no such job, or no such item in it. */
  record Absent() implements ReadResult {}

  /**
   * It can't be told now.
   *
   * @param reason description
   */
  record Unsure(String reason) implements ReadResult {}
}
