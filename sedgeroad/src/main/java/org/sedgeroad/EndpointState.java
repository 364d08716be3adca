package org.sedgeroad;

/** The state of an endpoint in the platform's instance list. */
public enum EndpointState {
  /** The endpoint accepts new work. */
  LIVE,
  /** The endpoint completes the work that it has and accepts no new work. */
  LEAVING
}
