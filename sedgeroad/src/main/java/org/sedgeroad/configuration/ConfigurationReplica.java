package org.sedgeroad.configuration;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.sedgeroad.store.StoredObject;

/**
 * Local copies of the configuration objects in the store, each at the highest received version.
 *
 * <p>A lower version of an object is never applied. A deletion is kept as a tombstone, so that an
 * older copy from a peer cannot restore the object. Thread-safe.
 */
public final class ConfigurationReplica {
  private final Map<String, Map<String, StoredObject>> objectsByKind = new ConcurrentHashMap<>();
  private final List<Consumer<StoredObject>> listeners = new CopyOnWriteArrayList<>();

  /**
   * Applies an object if its version is higher than that of the local copy. Listeners run in the
   * calling thread after the change and must not block.
   *
   * @return whether the object was applied
   */
  public boolean apply(StoredObject object) {
    boolean[] applied = {false};
    objects(object.kind())
        .compute(
            object.name(),
            (name, current) -> {
              applied[0] = current == null || object.version() > current.version();
              return applied[0] ? object : current;
            });
    if (applied[0]) {
      listeners.forEach(listener -> listener.accept(object));
    }
    return applied[0];
  }

  /** Returns an object, empty if there is no copy or it has been deleted. */
  public Optional<StoredObject> find(String kind, String name) {
    return Optional.ofNullable(objects(kind).get(name)).filter(object -> !object.isDeleted());
  }

  /** Returns all objects of a kind that are not deleted, in name order. */
  public List<StoredObject> list(String kind) {
    return objects(kind).values().stream().filter(object -> !object.isDeleted()).toList();
  }

  /** Returns all objects of a kind, including tombstones, in name order. */
  public Collection<StoredObject> entries(String kind) {
    return objects(kind).values();
  }

  /** Returns the highest version of any copy of a kind, 0 if there is none. */
  public long highestVersion(String kind) {
    return objects(kind).values().stream().mapToLong(StoredObject::version).max().orElse(0);
  }

  /** Adds a listener that receives every applied object, including tombstones. */
  public void addListener(Consumer<StoredObject> listener) {
    listeners.add(listener);
  }

  private Map<String, StoredObject> objects(String kind) {
    return objectsByKind.computeIfAbsent(kind, key -> new ConcurrentSkipListMap<>());
  }
}
