package org.sedgeroad.job;

/** State of a job. */
public enum JobState {
  /** Accepted; its items are being worked on. */
  ACCEPTED,
  /** Cancelled; nothing new starts. */
  CANCELLED,
  /** Each item has ended. */
  COMPLETED
}
