package org.sedgeroad.limit;

import java.util.concurrent.CompletableFuture;
import org.sedgeroad.peer.Grant;

/** Asks the home of a member for a sub-grant; does not block. */
@FunctionalInterface
interface GrantRequester {

  /** Returns the answer; the future fails if no home answers by the deadline. */
  CompletableFuture<Grant> request(String member, LimitKind kind, long wanted, long deadlineNanos);
}
