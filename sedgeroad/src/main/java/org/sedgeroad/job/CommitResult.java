package org.sedgeroad.job;

/** Outcome of a conditional update of a held segment. */
sealed interface CommitResult {

  /** The update took effect. */
  record Committed(Segment segment, long version) implements CommitResult {}

  /** Another instance holds the segment now; the results do not count. */
  record SegmentLost() implements CommitResult {}

  /** The job is cancelled; the results do not count. */
  record JobCancelled() implements CommitResult {}

  /** The store could not serve the update; nothing is known to have changed. */
  record Retry(String reason) implements CommitResult {}
}
