package org.sedgeroad.command;

import java.time.Instant;
import java.util.Optional;

/** Outcome of one statement. */
public sealed interface CommandResult {

  /**
   * The statement was carried out, by this call or by an earlier one.
   *
   * @param table rows of the answer
   * @param nextPageStatement statement for the next page, empty on the last one
   * @param pollingStatement statement to send again to see progress, empty if there is nothing to
   *     wait for
   */
  record Done(Table table, Optional<String> nextPageStatement, Optional<String> pollingStatement)
      implements CommandResult {}

  /**
   * The statement had no effect.
   *
   * @param reason why, and what to do
   * @param winner what is in force instead, empty if that is not the reason
   */
  record Refused(String reason, Optional<String> winner) implements CommandResult {}

  /**
   * The statement may have had its effect; sending it again finds out.
   *
   * @param reason description
   */
  record OutcomeUnknown(String reason) implements CommandResult {}

  /**
   * The statement had no effect because the store could not be asked.
   *
   * @param reason description
   * @param retryAt earliest time for the next try
   */
  record Unavailable(String reason, Instant retryAt) implements CommandResult {}

  /** Returns a result with rows. */
  static CommandResult done(Table table) {
    return new Done(table, Optional.empty(), Optional.empty());
  }

  /** Returns a refusal that no other write is the reason for. */
  static CommandResult refused(String reason) {
    return new Refused(reason, Optional.empty());
  }

  /** Returns a refusal because of something that is in force. */
  static CommandResult conflict(String reason, String winner) {
    return new Refused(reason, Optional.of(winner));
  }
}
