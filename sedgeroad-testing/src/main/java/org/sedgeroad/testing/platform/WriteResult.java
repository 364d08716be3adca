package org.sedgeroad.testing.platform;

import org.sedgeroad.store.StoredObject;

/** Outcome of a write to the object table. */
sealed interface WriteResult {

  /**
   * The write took effect.
   *
   * @param object the object after the write
   */
  record Written(StoredObject object) implements WriteResult {}

  /** There is no object of that name. */
  record Missing() implements WriteResult {}

  /**
   * The name exists already or has another version.
   *
   * @param currentVersion version of the stored object
   */
  record Mismatch(long currentVersion) implements WriteResult {}
}
