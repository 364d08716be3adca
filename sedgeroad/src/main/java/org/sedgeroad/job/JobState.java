package org.sedgeroad.job;

/** State of a batch job. */
public enum JobState {
  /** Accepted; its items wait or run. */
  ACCEPTED,
  /** Cancelled; no further items are sent. */
  CANCELLED,
  /** All items have ended. */
  COMPLETED
}
