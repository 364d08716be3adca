package org.sedgeroad.route;

/** Indicates whether a request with a fingerprint may be sent, given the endpoints lost so far. */
public enum CrashVerdict {
  /** The request is not suspected. */
  CLEAR,
  /**
   * The request was in flight at a lost endpoint; it must not run at an endpoint together with
   * another suspect.
   */
  SUSPECT,
  /**
   * The request may have crashed a second endpoint; it must wait until the other instances have
   * reported the requests that they had in flight there.
   */
  AWAITING_REPORTS,
  /** The request crashed two endpoints, or the item several, and must not be sent. */
  QUARANTINED
}
