package org.sedgeroad.job;

import java.util.List;

/** Outcome of an attempt to claim a segment. */
sealed interface ClaimResult {

  /** This instance holds the segment now; {@code takenOver} if its last holder was lost. */
  record Claimed(Job job, Segment segment, long version, List<BatchItem> items, boolean takenOver)
      implements ClaimResult {}

  /** The segment or its job has ended. */
  record Ended(Job job) implements ClaimResult {}

  /** Another instance holds the segment. */
  record HeldByOther(String holder) implements ClaimResult {}

  /**
   * The claim failed, for example because a store call failed or another instance changed the
   * segment first. It may be tried again.
   */
  record Failed(String reason) implements ClaimResult {}
}
