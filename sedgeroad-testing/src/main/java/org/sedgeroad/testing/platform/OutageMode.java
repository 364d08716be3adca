package org.sedgeroad.testing.platform;

/** How the store behaves during an outage. */
public enum OutageMode {
  /** No outage. */
  NONE,
  /** Answers 503. */
  UNAVAILABLE,
  /** Refuses connections, which includes the control calls. */
  REFUSE,
  /** Accepts requests and never answers them. */
  HANG
}
