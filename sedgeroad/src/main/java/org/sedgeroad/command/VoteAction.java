package org.sedgeroad.command;

import java.util.OptionalLong;

/** Puts a voted limit in force. */
@FunctionalInterface
public interface VoteAction {

  /**
   * Sets one limit of a member; blocks.
   *
   * @param member existing member
   * @param kind kind of limit
   * @param value value in stored form, see {@link LimitKind#normalize}
   * @param version version that the member's limits must still have, empty for any
   */
  CommandResult vote(String member, LimitKind kind, String value, OptionalLong version);
}
