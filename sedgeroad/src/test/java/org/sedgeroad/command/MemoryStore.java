package org.sedgeroad.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WatchListener;

/** In-memory store that can be unavailable, lose responses and simulate concurrent writes. */
final class MemoryStore implements ObjectStore {
  /** Simulated concurrent writes; each write to the store first removes and runs the oldest. */
  final Deque<Runnable> beforeWrite = new ArrayDeque<>();

  boolean unavailable;
  boolean loseNextResponse;
  private final Map<String, StoredObject> objects = new TreeMap<>();
  private long version;

  /** Writes an object unconditionally and without simulated faults. */
  StoredObject put(String kind, String name, JsonNode spec) {
    StoredObject object = new StoredObject(kind, name, ++version, serializeAndParse(spec));
    objects.put(kind + "/" + name, object);
    return object;
  }

  /** Returns the spec as a client reads it after transfer over the network. */
  private static JsonNode serializeAndParse(JsonNode spec) {
    try {
      return new ObjectMapper().readTree(spec.toString());
    } catch (JsonProcessingException invalid) {
      throw new IllegalArgumentException(invalid);
    }
  }

  StoredObject find(String kind, String name) {
    return objects.get(kind + "/" + name);
  }

  @Override
  public StoreResult<StoredObject> get(String kind, String name) {
    if (unavailable) {
      return new StoreResult.Unavailable<>("down");
    }
    StoredObject found = find(kind, name);
    return found == null ? new StoreResult.Absent<>() : new StoreResult.Done<>(found);
  }

  @Override
  public StoreResult<StoredObject> create(String kind, String name, JsonNode spec) {
    return write(kind, name, 0, spec);
  }

  @Override
  public StoreResult<StoredObject> update(
      String kind, String name, long expectedVersion, JsonNode spec) {
    return write(kind, name, expectedVersion, spec);
  }

  @Override
  public StoreResult<StoredObject> delete(String kind, String name, long expectedVersion) {
    return write(kind, name, expectedVersion, null);
  }

  private StoreResult<StoredObject> write(
      String kind, String name, long expectedVersion, JsonNode spec) {
    if (unavailable) {
      return new StoreResult.Unavailable<>("down");
    }
    if (!beforeWrite.isEmpty()) {
      beforeWrite.poll().run();
    }
    StoredObject current = find(kind, name);
    if ((current == null ? 0 : current.version()) != expectedVersion) {
      return current == null ? new StoreResult.Absent<>() : new StoreResult.Conflict<>();
    }
    StoredObject written = current;
    if (spec == null) {
      objects.remove(kind + "/" + name);
    } else {
      written = put(kind, name, spec);
    }
    if (loseNextResponse) {
      loseNextResponse = false;
      return new StoreResult.Unknown<>("answer lost");
    }
    return new StoreResult.Done<>(written);
  }

  @Override
  public StoreResult<ObjectList> list(String kind, String prefix) {
    return new StoreResult.Done<>(
        new ObjectList(
            version,
            objects.values().stream()
                .filter(object -> object.kind().equals(kind) && object.name().startsWith(prefix))
                .toList()));
  }

  @Override
  public AutoCloseable watch(String kind, long afterVersion, WatchListener listener) {
    return () -> {};
  }

  @Override
  public void close() {}
}
