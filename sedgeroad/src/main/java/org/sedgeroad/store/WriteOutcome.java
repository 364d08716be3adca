package org.sedgeroad.store;

import java.time.Instant;

/** Outcome of a write, after lost answers have been resolved by reading the object back. */
public sealed interface WriteOutcome {

  /**
   * The write took effect.
   *
   * @param object the object as written
   */
  record Written(StoredObject object) implements WriteOutcome {}

  /**
   * Another write won: this one had no effect, or its object has since been replaced.
   *
   * @param current current object, null if it does not exist
   */
  record Lost(StoredObject current) implements WriteOutcome {}

  /**
   * The write had no effect because the store was unavailable or limited the rate.
   *
   * @param reason description of the cause
   * @param retryAt earliest time for the next attempt
   */
  record NotWritten(String reason, Instant retryAt) implements WriteOutcome {}

  /**
   * The store refuses the content of the write, which had no effect and can't succeed later.
   *
   * @param reason description of the cause
   */
  record Rejected(String reason) implements WriteOutcome {}

  /**
   * The write may have taken effect; the object could not be read back.
   *
   * @param reason description of the cause
   */
  record Unknown(String reason) implements WriteOutcome {}
}
