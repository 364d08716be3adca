package org.sedgeroad.batch;

/** Outcome of a submission. */
public sealed interface AcceptResult {

  /**
   * The job is the system's to keep, now or since an earlier submission.
   *
   * @param head the job
   * @param version store version of the head
   * @param created whether this submission created it, so that it has no results yet
   */
  record Accepted(JobHead head, long version, boolean created) implements AcceptResult {}

  /**
   * No part of the job will run because of this submission.
   *
   * @param reason description
   * @param retryAfterMillis time after which the client may come back, in milliseconds
   */
  record NotAccepted(String reason, long retryAfterMillis) implements AcceptResult {}

  /** The tokens that wait on the route leave no room for the job. */
  record OverLimit() implements AcceptResult {}

  /**
   * The job may have been accepted.
   *
   * @param reason description
   */
  record Unknown(String reason) implements AcceptResult {}
}
