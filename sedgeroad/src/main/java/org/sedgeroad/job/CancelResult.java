package org.sedgeroad.job;

/** Outcome of cancelling a job. */
public sealed interface CancelResult {

  /**
   * The job is cancelled, by this call or an earlier one.
   *
   * @param job the job
   */
  record Cancelled(Job job) implements CancelResult {}

  /**
   * The job had completed before.
   *
   * @param job the job
   */
  record TooLate(Job job) implements CancelResult {}

  /** No such job exists. */
  record NotFound() implements CancelResult {}

  /**
   * The store could not be asked or its answer was lost.
   *
   * @param reason description
   * @param mayBeCancelled whether the cancellation may have taken effect
   */
  record Failed(String reason, boolean mayBeCancelled) implements CancelResult {}
}
