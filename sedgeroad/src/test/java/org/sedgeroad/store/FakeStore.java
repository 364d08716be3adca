package org.sedgeroad.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** In-memory object store with configurable faults. Calls are serialized by a lock. */
public final class FakeStore implements ObjectStore {
  /** Fault of one call. */
  public enum Fault {
    /** The call succeeds. */
    NONE,
    /** The call is refused and has no effect. */
    OUTAGE,
    /** The call is refused because of a rate limit and has no effect. */
    THROTTLED,
    /** The call fails with a version conflict and has no effect. */
    CONFLICT,
    /** The request is lost: the call has no effect, and its outcome is unknown. */
    LOST_REQUEST,
    /** The answer is lost: the call takes effect, but its outcome is unknown. */
    LOST_ANSWER
  }

  private final Map<String, TreeMap<String, StoredObject>> objectsByKind = new TreeMap<>();
  private final List<Consumer<StoredObject>> watchers = new ArrayList<>();
  private long version;

  /** Chooses the fault of a call from its operation and kind; may also delay it. */
  public BiFunction<String, String, Fault> faults = (operation, kind) -> Fault.NONE;

  /**
   * Makes the next {@code count} calls of one operation on one kind fail. All other calls succeed.
   */
  public void failNext(String operation, String kind, Fault fault, int count) {
    int[] left = {count};
    faults =
        (calledOperation, calledKind) ->
            calledOperation.equals(operation) && calledKind.equals(kind) && left[0]-- > 0
                ? fault
                : Fault.NONE;
  }

  /** Returns all objects of a kind in name order. */
  public synchronized List<StoredObject> objects(String kind) {
    return List.copyOf(objectsByKind.computeIfAbsent(kind, key -> new TreeMap<>()).values());
  }

  /** Adds a watcher that receives every change in version order. */
  public synchronized void addWatcher(Consumer<StoredObject> watcher) {
    watchers.add(watcher);
  }

  @Override
  public StoreResult<StoredObject> get(String kind, String name) {
    return call(
        "get",
        kind,
        () -> {
          StoredObject found = objectsByName(kind).get(name);
          return found == null ? new StoreResult.Absent<>() : new StoreResult.Done<>(found);
        });
  }

  @Override
  public StoreResult<StoredObject> create(String kind, String name, JsonNode spec) {
    return call(
        "create",
        kind,
        () ->
            objectsByName(kind).containsKey(name)
                ? new StoreResult.Conflict<>()
                : new StoreResult.Done<>(put(kind, name, spec)));
  }

  @Override
  public StoreResult<StoredObject> update(
      String kind, String name, long expectedVersion, JsonNode spec) {
    return call("update", kind, () -> replace(kind, name, expectedVersion, spec));
  }

  @Override
  public StoreResult<StoredObject> delete(String kind, String name, long expectedVersion) {
    return call("delete", kind, () -> replace(kind, name, expectedVersion, null));
  }

  @Override
  public StoreResult<ObjectList> list(String kind, String prefix) {
    return call(
        "list",
        kind,
        () ->
            new StoreResult.Done<>(
                new ObjectList(
                    version,
                    objectsByName(kind).values().stream()
                        .filter(object -> object.name().startsWith(prefix))
                        .toList())));
  }

  @Override
  public AutoCloseable watch(String kind, long afterVersion, WatchListener listener) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void close() {
    // There is nothing to close.
  }

  private <T> StoreResult<T> call(
      String operation, String kind, Supplier<StoreResult<T>> execution) {
    Fault fault = faults.apply(operation, kind);
    synchronized (this) {
      return switch (fault) {
        case OUTAGE -> new StoreResult.Unavailable<>("outage");
        case THROTTLED -> new StoreResult.Throttled<>(java.time.Instant.EPOCH);
        case CONFLICT -> new StoreResult.Conflict<>();
        case LOST_REQUEST -> new StoreResult.Unknown<>("request lost");
        case LOST_ANSWER -> {
          execution.get();
          yield new StoreResult.Unknown<>("answer lost");
        }
        default -> execution.get();
      };
    }
  }

  private StoreResult<StoredObject> replace(
      String kind, String name, long expectedVersion, JsonNode spec) {
    StoredObject found = objectsByName(kind).get(name);
    if (found == null) {
      return new StoreResult.Absent<>();
    }
    return found.version() == expectedVersion
        ? new StoreResult.Done<>(put(kind, name, spec))
        : new StoreResult.Conflict<>();
  }

  /** Stores an object in a new version. A null spec deletes the object. */
  private StoredObject put(String kind, String name, JsonNode spec) {
    StoredObject object = new StoredObject(kind, name, ++version, spec);
    if (spec == null) {
      objectsByName(kind).remove(name);
    } else {
      objectsByName(kind).put(name, object);
    }
    watchers.forEach(watcher -> watcher.accept(object));
    return object;
  }

  private TreeMap<String, StoredObject> objectsByName(String kind) {
    return objectsByKind.computeIfAbsent(kind, key -> new TreeMap<>());
  }
}
