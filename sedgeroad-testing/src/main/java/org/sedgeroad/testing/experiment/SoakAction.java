package org.sedgeroad.testing.experiment;

/** Actions of a soak: failures, and changes that callers and operators make. */
enum SoakAction {
  /** Kills an entry instance, as {@code kill -9} does, and starts it again. */
  KILL_ENTRY,
  /** Suspends an entry instance, sometimes for longer than a lease. */
  PAUSE_ENTRY,
  /** Stops an entry instance as planned and starts it again. */
  STOP_ENTRY,
  /** Makes the store answer with status 503. */
  STORE_UNAVAILABLE,
  /** Makes the store leave requests unanswered. */
  STORE_HANG,
  /** Delays the answers of the store. */
  STORE_SLOW,
  /** Loses answers to writes that have taken effect in the store. */
  STORE_LOSES_ANSWERS,
  /** Makes the store limit the rate of writes and reads. */
  STORE_LIMITS,
  /** Makes an engine lose all runs and refuse connections for some time. */
  CRASH_ENGINE,
  /** Drains an engine and puts it back into use. */
  DRAIN_ENGINE,
  /** Sends a request that crashes its engine, and sends it again, beside ordinary requests. */
  CRASH_REQUEST,
  /** Disconnects a failure domain from the store. */
  CUT_DOMAIN,
  /** Submits a batch job. */
  SUBMIT_JOB,
  /** Submits an earlier job again with the same idempotency key. */
  RESUBMIT_JOB,
  /** Cancels the latest job. */
  CANCEL_JOB,
  /** Changes the limit of a member. */
  VOTE_LIMIT
}
