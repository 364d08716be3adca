package org.sedgeroad.gateway;

/** What may be done with the requests of a route. */
public enum RouteKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once for each attempt of a client. */
  NON_IDEMPOTENT,
  /** Answered by a series of events; runs at most once unless the route is resumable. */
  STREAMING,
  /** Jobs of many items that run later. */
  BATCH
}
