package org.sedgeroad.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The platform's object API: versions, conditional updates and watches.
 *
 * <p>Calls block until the answer or a deadline of a few seconds. No argument may be null.
 */
public interface ObjectStore extends AutoCloseable {

  /** Returns one object, or {@link StoreResult.Absent}. */
  StoreResult<StoredObject> get(String kind, String name);

  /** Creates an object; {@link StoreResult.Conflict} if the name exists. */
  StoreResult<StoredObject> create(String kind, String name, JsonNode spec);

  /** Replaces an object if it still has the given version. */
  StoreResult<StoredObject> update(String kind, String name, long version, JsonNode spec);

  /** Deletes an object if it still has the given version. */
  StoreResult<StoredObject> delete(String kind, String name, long version);

  /** Lists the objects of a kind whose name starts with a prefix, in name order. */
  StoreResult<ObjectList> list(String kind, String prefix);

  /** Watches a kind from just after the given version. Closing the result ends the watch. */
  AutoCloseable watch(String kind, long afterVersion, WatchListener listener);

  @Override
  void close();
}
