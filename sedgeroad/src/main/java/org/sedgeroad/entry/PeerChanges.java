package org.sedgeroad.entry;

import java.util.List;
import java.util.function.Consumer;
import org.sedgeroad.store.StoredObject;

/** Asks other instances for changes that they have received from the store. */
@FunctionalInterface
interface PeerChanges {

  /** Answer of an instance that was asked for changes. */
  sealed interface Answer {
    /**
     * All changes after the version that was asked for.
     *
     * @param version version of the store up to which the changes are complete
     * @param objects changes in version order, not null; empty if nothing has changed
     */
    record Changes(long version, List<StoredObject> objects) implements Answer {
      /** Copies the list. */
      public Changes {
        objects = List.copyOf(objects);
      }
    }

    /** There are changes that the instance does not pass on; the objects must be listed. */
    record Expired() implements Answer {}

    /**
     * The instance can't tell.
     *
     * @param reason reason for the log
     */
    record Unavailable(String reason) implements Answer {}
  }

  /**
   * Asks for the changes of a kind after a version, and waits for one if there is none.
   *
   * @param instance name of the instance that is asked
   * @param kind kind of the objects
   * @param afterVersion version of the store
   * @param waitMillis longest wait, in milliseconds
   * @param result receives the answer on the event loop
   * @return the call; closing it cancels the call
   */
  AutoCloseable read(
      String instance, String kind, long afterVersion, long waitMillis, Consumer<Answer> result);
}
