package org.sedgeroad.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Client of the platform's object store, which offers versions, conditional updates and watches.
 *
 * <p>Calls block until the answer arrives or a timeout of a few seconds passes. Only {@link #watch}
 * does not block. No argument may be null.
 */
public interface ObjectStore extends AutoCloseable {

  /** Reads an object; {@link StoreResult.Absent} if it does not exist. */
  StoreResult<StoredObject> get(String kind, String name);

  /**
   * Reads an object as it was some seconds ago or later, which may cost less than {@link #get}.
   * {@link StoreResult.Absent} if it did not exist then.
   */
  default StoreResult<StoredObject> getStale(String kind, String name) {
    return get(kind, name);
  }

  /** Creates an object; {@link StoreResult.Conflict} if the name exists. */
  StoreResult<StoredObject> create(String kind, String name, JsonNode spec);

  /** Replaces an object; {@link StoreResult.Conflict} if it no longer has the given version. */
  StoreResult<StoredObject> update(String kind, String name, long version, JsonNode spec);

  /**
   * Deletes an object; {@link StoreResult.Conflict} if it no longer has the given version. The
   * result has the version of the deletion.
   */
  StoreResult<StoredObject> delete(String kind, String name, long version);

  /** Lists the objects of a kind whose name starts with a prefix, in name order. */
  StoreResult<ObjectList> list(String kind, String prefix);

  /**
   * Watches a kind for changes after the given version of the store. Closing the result ends the
   * watch.
   */
  AutoCloseable watch(String kind, long afterVersion, WatchListener listener);

  /**
   * Closes idle connections, which may have stopped delivering data, so that the next calls use new
   * ones.
   */
  default void renewConnections() {}

  @Override
  void close();
}
