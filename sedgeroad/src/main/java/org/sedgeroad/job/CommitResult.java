package org.sedgeroad.job;

/** Outcome of a conditional update of a held segment. */
sealed interface CommitResult {

  /** The segment as it is stored now; this instance holds it. */
  record Committed(Segment segment, long version) implements CommitResult {}

  /** Another instance holds the segment now; the results do not count. */
  record SegmentLost() implements CommitResult {}

  /** The job is cancelled; the results do not count. */
  record JobCancelled() implements CommitResult {}

  /** The segment has been given back, or was not held any more. */
  record Released() implements CommitResult {}

  /** The update may have taken effect; the segment must be read before the next update. */
  record Uncertain(String reason) implements CommitResult {}

  /** The store could not serve the update; the segment has not changed. */
  record Retry(String reason) implements CommitResult {}
}
