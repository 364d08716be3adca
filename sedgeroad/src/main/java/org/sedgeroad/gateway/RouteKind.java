package org.sedgeroad.gateway;

/** Kind of the requests of a route, which tells whether they may run more than once. */
public enum RouteKind {
  /** Requests that may run more than once. */
  IDEMPOTENT,
  /** Requests that run at most once for each attempt of a client. */
  NON_IDEMPOTENT,
  /** Requests answered by a stream of events; run at most once unless the route is resumable. */
  STREAMING,
  /** Batch jobs of many items that run later. */
  BATCH
}
