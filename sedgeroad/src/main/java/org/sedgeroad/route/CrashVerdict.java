package org.sedgeroad.route;

/** What is known of a request's fingerprint. */
public enum CrashVerdict {
  /** Nothing speaks against it. */
  CLEAR,
  /** It was in flight at an endpoint that was lost; it runs without another suspect beside it. */
  SUSPECT,
  /** It may have crashed a second endpoint; it must wait until other instances have reported. */
  HELD,
  /** It crashed two endpoints and must not be sent. */
  QUARANTINED
}
