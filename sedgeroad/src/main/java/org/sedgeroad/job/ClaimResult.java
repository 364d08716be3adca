package org.sedgeroad.job;

import java.util.List;

/** Outcome of claiming a segment. */
sealed interface ClaimResult {

  /** This instance holds the segment now. */
  record Claimed(Job job, Segment segment, long version, List<BatchItem> items, boolean takenOver)
      implements ClaimResult {}

  /** The segment or its job has ended. */
  record Ended(Job job) implements ClaimResult {}

  /** Another instance holds the segment. */
  record HeldByOther(String holder) implements ClaimResult {}

  /** The store could not serve the claim, or another instance was faster. */
  record Failed(String reason) implements ClaimResult {}
}
