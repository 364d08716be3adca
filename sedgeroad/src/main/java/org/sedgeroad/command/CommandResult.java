package org.sedgeroad.command;

import java.time.Instant;
import java.util.Optional;

/** Outcome of one statement. */
public sealed interface CommandResult {

  /**
   * The statement took effect, by this call or by an earlier one.
   *
   * @param table rows that the statement returns
   * @param nextPageStatement statement that shows the next page, empty on the last page
   * @param pollingStatement statement that polls for progress, empty if there is nothing to wait
   *     for
   */
  record Done(Table table, Optional<String> nextPageStatement, Optional<String> pollingStatement)
      implements CommandResult {}

  /**
   * The statement had no effect.
   *
   * @param reason why it was refused, and what to do
   * @param inForce description of what is in force, if the statement conflicts with it; otherwise
   *     empty
   */
  record Refused(String reason, Optional<String> inForce) implements CommandResult {}

  /**
   * The statement may have taken effect. Sending it again is safe and shows whether it did.
   *
   * @param reason description of the cause
   */
  record OutcomeUnknown(String reason) implements CommandResult {}

  /**
   * The statement had no effect for a temporary reason, such as an unavailable store.
   *
   * @param reason description of the cause
   * @param retryAt earliest time for the next attempt
   */
  record Unavailable(String reason, Instant retryAt) implements CommandResult {}

  /** Returns the result of a statement that took effect and needs no further statement. */
  static CommandResult done(Table table) {
    return new Done(table, Optional.empty(), Optional.empty());
  }

  /** Returns a refusal for a reason other than a conflict with what is in force. */
  static CommandResult refused(String reason) {
    return new Refused(reason, Optional.empty());
  }

  /** Returns a refusal because of a conflict with what is in force. */
  static CommandResult conflict(String reason, String inForce) {
    return new Refused(reason, Optional.of(inForce));
  }
}
