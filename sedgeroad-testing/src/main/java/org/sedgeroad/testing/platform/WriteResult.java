package org.sedgeroad.testing.platform;

import org.sedgeroad.store.StoredObject;

/** Result of a write to the object table. */
sealed interface WriteResult {

  /**
   * The write took effect.
   *
   * @param object the object after the write
   */
  record Written(StoredObject object) implements WriteResult {}

  /** There is no object with the given name. */
  record Missing() implements WriteResult {}

  /**
   * The object exists already, or its version is not the expected one.
   *
   * @param currentVersion version of the stored object
   */
  record Mismatch(long currentVersion) implements WriteResult {}
}
