package org.sedgeroad.store;

import java.time.Instant;

/** Outcome of a write whose lost answers have been resolved by reading back. */
public sealed interface WriteOutcome {

  /**
   * The write took effect.
   *
   * @param object the object as written
   */
  record Written(StoredObject object) implements WriteOutcome {}

  /**
   * Another write won; this one had no effect or has been replaced since.
   *
   * @param current the object as it is now, null if it was deleted
   */
  record Lost(StoredObject current) implements WriteOutcome {}

  /**
   * The write had no effect because the store could not serve it.
   *
   * @param reason description
   * @param retryAt earliest time for the next try
   */
  record NotWritten(String reason, Instant retryAt) implements WriteOutcome {}

  /**
   * The write may have taken effect; the store could not be asked.
   *
   * @param reason description
   */
  record Unknown(String reason) implements WriteOutcome {}
}
