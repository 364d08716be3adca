package org.sedgeroad.job;

/** Outcome of a conditional update of a segment that this instance held. */
sealed interface CommitResult {

  /** This instance still holds the segment; the components are its stored content and version. */
  record Committed(Segment segment, long version) implements CommitResult {}

  /**
   * This instance no longer holds the segment, or the segment or its job was deleted; the results
   * are discarded.
   */
  record SegmentLost() implements CommitResult {}

  /** The job was cancelled; the results are discarded. */
  record JobCancelled() implements CommitResult {}

  /** The segment was released, or was no longer held. */
  record Released() implements CommitResult {}

  /** The update may have taken effect; the segment must be read again before the next update. */
  record Uncertain(String reason) implements CommitResult {}

  /** A store call failed, but the segment is unchanged, so the update may be tried again. */
  record Retry(String reason) implements CommitResult {}
}
