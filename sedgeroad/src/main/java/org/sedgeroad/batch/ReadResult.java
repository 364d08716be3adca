package org.sedgeroad.batch;

import java.util.Base64;

/** Outcome of a call that reads or ends a job. */
public sealed interface ReadResult {

  /**
   * Some results of the job.
   *
   * @param page page of results
   */
  record Page(ResultPage page) implements ReadResult {}

  /**
   * Request body of an item.
   *
   * @param body the decoded body; must not be modified
   */
  record Body(byte[] body) implements ReadResult {
    /** Returns the decoded body of an item. */
    static Body of(ItemSpec item) {
      return new Body(Base64.getDecoder().decode(item.body()));
    }
  }

  /** The job has been marked as ended. */
  record Ended() implements ReadResult {}

  /** The job does not exist, or it has no such item. */
  record Absent() implements ReadResult {}

  /**
   * The answer cannot be determined at the moment, so the call may be retried.
   *
   * @param reason description of the cause
   */
  record Unavailable(String reason) implements ReadResult {}
}
