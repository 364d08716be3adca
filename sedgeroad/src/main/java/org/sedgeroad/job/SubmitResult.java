package org.sedgeroad.job;

import java.time.Instant;

/** Outcome of a submission. */
public sealed interface SubmitResult {

  /**
   * The job is stored.
   *
   * @param job the job, which existed before if the submission was repeated
   */
  record Accepted(Job job) implements SubmitResult {}

  /**
   * The submission is invalid.
   *
   * @param parameter name of the invalid parameter
   * @param message description of the error
   */
  record Invalid(String parameter, String message) implements SubmitResult {}

  /**
   * The job was not stored, so none of its items will run.
   *
   * @param reason description of the failure
   * @param retryAt earliest time at which to submit it again
   */
  record Refused(String reason, Instant retryAt) implements SubmitResult {}

  /**
   * The job may have been accepted; submitting it again shows whether it was.
   *
   * @param reason description of the failure
   */
  record Unknown(String reason) implements SubmitResult {}
}
