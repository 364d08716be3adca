package org.sedgeroad;

/** State of an endpoint in the platform's instance list. */
public enum EndpointState {
  /** Serves new work. */
  LIVE,
  /** Finishes what it has and takes no new work. */
  LEAVING
}
