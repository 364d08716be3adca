package org.sedgeroad.store;

/** Receives the changes of one watched kind, in version order, from an I/O thread. */
public interface WatchListener {

  /** Receives a created, changed or deleted object. */
  void onChange(StoredObject object);

  /** Receives the end of the watch; the caller starts a new one from a fresh list. */
  void onClosed(String reason);

  /** Receives the refusal of a version that the store no longer knows; a list is needed. */
  default void onExpired(String reason) {
    onClosed(reason);
  }
}
