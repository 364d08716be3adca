package org.sedgeroad.limit;

import java.util.concurrent.CompletableFuture;
import org.sedgeroad.peer.Grant;

/** Requests sub-grants from the owner of a member's token buckets, without blocking. */
@FunctionalInterface
interface GrantRequester {

  /**
   * Requests a sub-grant.
   *
   * @param member the member
   * @param kind a rate
   * @param wanted units wanted, at least 1
   * @param deadlineNanos monotonic time by which the owner must answer
   * @return the answer; fails if no owner is known or the owner does not answer by the deadline
   */
  CompletableFuture<Grant> request(String member, LimitKind kind, long wanted, long deadlineNanos);
}
