package org.sedgeroad.job;

import java.time.Instant;

/** Outcome of submitting a job. */
public sealed interface SubmitResult {

  /**
   * The job exists in the store.
   *
   * @param job the job, an earlier one if the submission was a repeat
   */
  record Accepted(Job job) implements SubmitResult {}

  /**
   * The submission is not valid.
   *
   * @param parameter parameter at fault
   * @param message what is wrong
   */
  record Invalid(String parameter, String message) implements SubmitResult {}

  /**
   * The store could not take the job; no item of it will run.
   *
   * @param reason description
   * @param retryAt earliest time for the next try
   */
  record Refused(String reason, Instant retryAt) implements SubmitResult {}

  /**
   * The job may have been accepted; a repeat finds out.
   *
   * @param reason description
   */
  record Unknown(String reason) implements SubmitResult {}
}
