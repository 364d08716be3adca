package org.sedgeroad.store;

/** Receives the changes of one watched kind, in version order, on an I/O thread. */
public interface WatchListener {

  /** Receives a created, changed or deleted object. */
  void onChange(StoredObject object);

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
