package org.sedgeroad.job;

/** Store operation that a held segment needs next. */
enum StoreAction {
  /** None. */
  NONE,
  /** Read the segment back after a write whose outcome is not known. */
  RELOAD,
  /** Count the finished segment in its job. */
  COUNT,
  /** End the remaining items of a cancelled job. */
  CANCEL_OPEN_ITEMS,
  /** Commit finished items. */
  COMMIT,
  /** Mark non-idempotent items as started. */
  MARK_STARTED,
  /** Give the segment back. */
  RELEASE
}
