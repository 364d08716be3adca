package org.sedgeroad.batch;

/** Outcome of a submission. */
public sealed interface AcceptResult {

  /**
   * The job is stored, either by this submission or by an earlier one.
   *
   * @param head head of the stored job
   * @param version store version of the head
   * @param created whether this submission created the job, which then has no results yet
   */
  record Accepted(JobHead head, long version, boolean created) implements AcceptResult {}

  /**
   * This submission did not store the job, so no item runs because of it.
   *
   * @param reason description of the cause
   * @param retryAfterMillis time after which the client may submit the job again, in milliseconds
   */
  record NotAccepted(String reason, long retryAfterMillis) implements AcceptResult {}

  /**
   * The job can't be stored, so no item runs because of it, and another submission can't succeed.
   *
   * @param reason description of the cause
   */
  record Rejected(String reason) implements AcceptResult {}

  /** No route accepts the job, and it was not accepted before. */
  record NoRoute() implements AcceptResult {}

  /** The job would exceed the route's limit of waiting tokens. */
  record OverLimit() implements AcceptResult {}

  /**
   * The job may or may not have been accepted.
   *
   * @param reason description of the cause
   */
  record Unknown(String reason) implements AcceptResult {}
}
