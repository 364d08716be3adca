package org.sedgeroad.limit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WatchListener;

/** In-memory store with versions and conditional updates; it records all changes in order. */
final class SimulatedStore implements ObjectStore {
  /** Every write of limits and shares, in order. */
  final List<StoredObject> changes = new ArrayList<>();

  private final Map<String, StoredObject> objects = new TreeMap<>();
  private long version = 100;
  private Runnable beforeWrite = () -> {};

  /** Sets an action to run once, just before the next write, to let another writer win. */
  synchronized void beforeNextWrite(Runnable action) {
    beforeWrite = action;
  }

  @Override
  public synchronized StoreResult<StoredObject> get(String kind, String name) {
    StoredObject object = objects.get(kind + "/" + name);
    return object == null ? new StoreResult.Absent<>() : new StoreResult.Done<>(object);
  }

  @Override
  public StoreResult<StoredObject> create(String kind, String name, JsonNode spec) {
    return write(kind, name, 0, spec);
  }

  @Override
  public StoreResult<StoredObject> update(String kind, String name, long base, JsonNode spec) {
    return write(kind, name, base, spec);
  }

  @Override
  public StoreResult<StoredObject> delete(String kind, String name, long base) {
    throw new UnsupportedOperationException();
  }

  @Override
  public synchronized StoreResult<ObjectList> list(String kind, String prefix) {
    List<StoredObject> found =
        objects.values().stream()
            .filter(object -> object.kind().equals(kind) && object.name().startsWith(prefix))
            .toList();
    return new StoreResult.Done<>(new ObjectList(version, found));
  }

  @Override
  public AutoCloseable watch(String kind, long afterVersion, WatchListener listener) {
    return () -> {};
  }

  @Override
  public void close() {}

  private synchronized StoreResult<StoredObject> write(
      String kind, String name, long base, JsonNode spec) {
    Runnable action = beforeWrite;
    beforeWrite = () -> {};
    action.run();
    StoredObject stored = objects.get(kind + "/" + name);
    if ((stored == null ? 0 : stored.version()) != base) {
      return new StoreResult.Conflict<>();
    }
    ObjectNode copy = spec.deepCopy();
    StoredObject object = new StoredObject(kind, name, ++version, copy);
    objects.put(kind + "/" + name, object);
    if (!kind.equals(Kinds.LEASES)) {
      changes.add(object);
    }
    return new StoreResult.Done<>(object);
  }
}
