package org.sedgeroad.command;

import java.util.OptionalLong;
import org.sedgeroad.limit.LimitKind;
import org.sedgeroad.limit.VoteResult;

/** Puts a voted limit in force. */
@FunctionalInterface
public interface VoteAction {

  /**
   * Sets one limit of a member; can block for several seconds.
   *
   * @param member existing member, or {@code default}
   * @param kind kind of limit
   * @param value value in the unit of the kind, valid for the kind
   * @param version version that the member's limits must still have, empty for any
   */
  VoteResult vote(String member, LimitKind kind, long value, OptionalLong version);
}
