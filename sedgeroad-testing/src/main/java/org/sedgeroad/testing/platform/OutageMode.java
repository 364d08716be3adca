package org.sedgeroad.testing.platform;

/** How the store behaves during an outage. */
public enum OutageMode {
  /** No outage. */
  NONE,
  /** Answers all requests with status 503. */
  UNAVAILABLE,
  /** Refuses connections, including those of control calls. */
  REFUSE,
  /** Accepts requests and never answers them. */
  HANG
}
