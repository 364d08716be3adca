package org.sedgeroad;

/** The state of an endpoint in the instance list, the platform's list of endpoints. */
public enum EndpointState {
  /** The endpoint accepts new work. */
  LIVE,
  /** The endpoint completes the work that it has and accepts no new work. */
  LEAVING
}
