package org.sedgeroad.job;

/** Outcome of a request to cancel a batch job. */
public sealed interface CancelResult {

  /**
   * The job is cancelled, by this request or an earlier one.
   *
   * @param job the cancelled job
   */
  record Cancelled(Job job) implements CancelResult {}

  /**
   * The job had completed before the request.
   *
   * @param job the completed job
   */
  record TooLate(Job job) implements CancelResult {}

  /** No such job exists. */
  record NotFound() implements CancelResult {}

  /**
   * A store call failed, or the job changed too often.
   *
   * @param reason description of the failure
   * @param mayBeCancelled whether the cancellation may have taken effect
   */
  record Failed(String reason, boolean mayBeCancelled) implements CancelResult {}
}
