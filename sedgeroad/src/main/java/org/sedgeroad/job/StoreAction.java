package org.sedgeroad.job;

/** Next store operation of a held segment. */
enum StoreAction {
  /** No operation. */
  NONE,
  /** Read the segment again after a write with an unknown outcome. */
  RELOAD,
  /** Add the counts of the finished segment to its job. */
  COUNT,
  /** End the open items of a segment whose job is cancelled. */
  CANCEL_OPEN_ITEMS,
  /** Commit pending results. */
  COMMIT,
  /** Mark non-idempotent items as started. */
  MARK_STARTED,
  /** Release the segment, so that another instance can claim it. */
  RELEASE
}
