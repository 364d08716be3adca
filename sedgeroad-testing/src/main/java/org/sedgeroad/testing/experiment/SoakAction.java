package org.sedgeroad.testing.experiment;

/** Failures and changes that a soak mixes. */
enum SoakAction {
  /** Ends an entry instance as {@code kill -9} does and starts it again. */
  KILL_ENTRY,
  /** Pauses an entry instance, for longer than a lease at times. */
  PAUSE_ENTRY,
  /** Stops an entry instance as planned and starts it again. */
  STOP_ENTRY,
  /** The store answers 503. */
  STORE_UNAVAILABLE,
  /** The store does not answer. */
  STORE_HANG,
  /** The store is slow. */
  STORE_SLOW,
  /** Answers of writes are lost after the writes took effect. */
  STORE_LOSES_ANSWERS,
  /** The store limits writes and reads. */
  STORE_LIMITS,
  /** An engine loses all runs and refuses connections for a time. */
  CRASH_ENGINE,
  /** An engine leaves and comes back. */
  DRAIN_ENGINE,
  /** A request that crashes engines is sent, and sent again, beside innocent ones. */
  CRASH_REQUEST,
  /** A failure domain is cut from the store. */
  CUT_DOMAIN,
  /** A job is submitted. */
  SUBMIT_JOB,
  /** An earlier job is submitted again with the same key. */
  RESUBMIT_JOB,
  /** The latest job is cancelled. */
  CANCEL_JOB,
  /** A limit is voted. */
  VOTE_LIMIT
}
