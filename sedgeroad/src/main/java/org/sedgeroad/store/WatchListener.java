package org.sedgeroad.store;

/** Receives the changes of one watched kind, in version order, on an I/O thread. */
public interface WatchListener {

  /** Receives a created, changed or deleted object. */
  void onChange(StoredObject object);

  /**
   * Called when all changes up to a version have been delivered, also if there were none.
   *
   * @param version version of the store
   */
  default void onProgress(long version) {}

  /**
   * Returns for how long the store may leave the watch without an answer while nothing changes, in
   * milliseconds. A connection that no longer delivers anything is noticed after this time.
   */
  default long quietMillis() {
    return 4_000;
  }

  /**
   * Returns the pause between an answer with changes and the next call, in milliseconds, in which
   * further changes are collected.
   */
  default long collectionMillis() {
    return WatchPace.COLLECTION_MILLIS;
  }

  /** Receives the end of the watch. The receiver may start a new one from a new list. */
  void onClosed(String reason);

  /**
   * Called instead of {@link #onClosed} if the store has discarded changes after the version that
   * the watch has reached. The objects must be listed again.
   */
  default void onExpired(String reason) {
    onClosed(reason);
  }
}
