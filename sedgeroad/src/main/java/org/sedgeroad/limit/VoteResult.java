package org.sedgeroad.limit;

import java.time.Instant;
import java.util.List;

/** Outcome of a vote. */
public sealed interface VoteResult {

  /**
   * The limit is in force and will not be reverted.
   *
   * @param version version of the limits
   */
  record Accepted(long version) implements VoteResult {}

  /**
   * Another vote was written first; this one is not accepted.
   *
   * @param version version of the limits that won, 0 if there are none
   * @param values the values that won
   */
  record Conflict(long version, LimitValues values) implements VoteResult {}

  /**
   * The vote can't be accepted; the limits stay as they were.
   *
   * @param reason description of the cause
   * @param domains failure domains that may use more than the voted limit, empty if the reason is
   *     another one
   */
  record Refused(String reason, List<String> domains) implements VoteResult {

    /** Creates a refusal with a copy of the list. */
    public Refused {
      domains = List.copyOf(domains);
    }
  }

  /**
   * The store can't be reached; the vote is not accepted. Values that it has announced already stay
   * announced until the next vote.
   *
   * @param reason description of the cause
   * @param retryAt earliest time to try again
   */
  record Unavailable(String reason, Instant retryAt) implements VoteResult {}

  /**
   * The vote may have taken effect. It can be repeated safely.
   *
   * @param reason description of the cause
   */
  record Unknown(String reason) implements VoteResult {}
}
