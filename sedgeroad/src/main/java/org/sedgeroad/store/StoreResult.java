package org.sedgeroad.store;

import java.time.Instant;

/**
 * Outcome of a call to the object store.
 *
 * @param <T> type of the value on success
 */
public sealed interface StoreResult<T> {

  /**
   * The call took effect.
   *
   * @param value value that the call returned
   * @param <T> type of the value
   */
  record Done<T>(T value) implements StoreResult<T> {}

  /**
   * The object does not exist.
   *
   * @param <T> type of the value
   */
  record Absent<T>() implements StoreResult<T> {}

  /**
   * The version did not match, or the name already exists; nothing was written.
   *
   * @param <T> type of the value
   */
  record Conflict<T>() implements StoreResult<T> {}

  /**
   * The store rejected the call because of a rate limit; nothing was written.
   *
   * @param retryAt earliest time for the next attempt
   * @param <T> type of the value
   */
  record Throttled<T>(Instant retryAt) implements StoreResult<T> {}

  /**
   * The store refuses the content of the call, such as an object that is too large; nothing was
   * written, and the same call can't succeed later.
   *
   * @param reason description of the cause
   * @param <T> type of the value
   */
  record Rejected<T>(String reason) implements StoreResult<T> {}

  /**
   * The store is unreachable or rejects calls; nothing was written.
   *
   * @param reason description of the cause
   * @param <T> type of the value
   */
  record Unavailable<T>(String reason) implements StoreResult<T> {}

  /**
   * The answer was lost; a write may have taken effect.
   *
   * @param reason description of the cause
   * @param <T> type of the value
   */
  record Unknown<T>(String reason) implements StoreResult<T> {}
}
