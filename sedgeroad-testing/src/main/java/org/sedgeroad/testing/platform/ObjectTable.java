package org.sedgeroad.testing.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.sedgeroad.store.StoredObject;

/**
 * Holds all objects of the store, one version counter for all kinds, and the recent changes for
 * watches to replay. Thread-safe; watchers are called in version order while the table's lock is
 * held and must not block.
 */
final class ObjectTable {
  private final Map<String, NavigableMap<String, StoredObject>> kinds = new HashMap<>();
  private final Deque<Change> replayableChanges = new ArrayDeque<>();
  private final List<AcceptedWrite> acceptedWrites = new ArrayList<>();
  private final Map<String, Set<Consumer<Change>>> watchers = new HashMap<>();
  private final int replayLimit;
  private long version;
  private long lastDiscardedVersion;

  /** Creates an empty table that holds up to the given number of changes for watches to replay. */
  ObjectTable(int replayLimit) {
    this.replayLimit = replayLimit;
  }

  synchronized Optional<StoredObject> get(String kind, String name) {
    return Optional.ofNullable(objects(kind).get(name));
  }

  /**
   * Returns the objects of a kind whose names start with a prefix, in order of their names.
   *
   * @param after name after which the page starts, empty for the first page
   * @param limit maximum number of objects in the page
   */
  synchronized ObjectPage list(String kind, String prefix, String after, int limit) {
    List<StoredObject> page = new ArrayList<>();
    String from = after.compareTo(prefix) > 0 ? after : prefix;
    for (StoredObject object : objects(kind).tailMap(from, !from.equals(after)).values()) {
      if (!object.name().startsWith(prefix)) {
        break;
      }
      if (page.size() == limit) {
        return new ObjectPage(version, page, false);
      }
      page.add(object);
    }
    return new ObjectPage(version, page, true);
  }

  synchronized WriteResult create(String kind, String name, JsonNode spec) {
    StoredObject existing = objects(kind).get(name);
    if (existing != null) {
      return new WriteResult.Mismatch(existing.version());
    }
    return put("ADDED", kind, name, spec);
  }

  synchronized WriteResult update(String kind, String name, long expected, JsonNode spec) {
    StoredObject existing = objects(kind).get(name);
    if (existing == null) {
      return new WriteResult.Missing();
    }
    if (existing.version() != expected) {
      return new WriteResult.Mismatch(existing.version());
    }
    return put("MODIFIED", kind, name, spec);
  }

  /** Deletes an object; a negative expected version matches any version. */
  synchronized WriteResult delete(String kind, String name, long expected) {
    StoredObject existing = objects(kind).get(name);
    if (existing == null) {
      return new WriteResult.Missing();
    }
    if (expected >= 0 && existing.version() != expected) {
      return new WriteResult.Mismatch(existing.version());
    }
    objects(kind).remove(name);
    StoredObject deleted = new StoredObject(kind, name, ++version, existing.spec());
    publish(new Change("DELETED", deleted));
    return new WriteResult.Written(deleted);
  }

  /**
   * Passes the changes of a kind after a version to a watcher: past changes at once, later changes
   * as they happen.
   *
   * @return whether all changes after that version are still held; if not, the watcher is not
   *     registered and gets no change
   */
  synchronized boolean watch(String kind, long afterVersion, Consumer<Change> watcher) {
    if (afterVersion < lastDiscardedVersion) {
      return false;
    }
    for (Change change : replayableChanges) {
      if (change.object().version() > afterVersion && change.object().kind().equals(kind)) {
        watcher.accept(change);
      }
    }
    watchers.computeIfAbsent(kind, key -> new LinkedHashSet<>()).add(watcher);
    return true;
  }

  /**
   * Passes the current objects of a kind to a watcher as {@code ADDED}, then later changes as they
   * happen.
   */
  synchronized void watchFromNow(String kind, Consumer<Change> watcher) {
    objects(kind).values().forEach(object -> watcher.accept(new Change("ADDED", object)));
    watchers.computeIfAbsent(kind, key -> new LinkedHashSet<>()).add(watcher);
  }

  synchronized void unwatch(String kind, Consumer<Change> watcher) {
    watchers.getOrDefault(kind, Set.of()).remove(watcher);
  }

  /**
   * Discards all but the given number of most recent changes, so that watches from earlier versions
   * are refused.
   */
  synchronized void discardChanges(int kept) {
    while (replayableChanges.size() > kept) {
      lastDiscardedVersion = replayableChanges.remove().object().version();
    }
  }

  /** Returns the accepted writes after a version, in order of their versions. */
  synchronized List<AcceptedWrite> acceptedWrites(long afterVersion) {
    int low = 0;
    int high = acceptedWrites.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (acceptedWrites.get(middle).version() <= afterVersion) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return List.copyOf(acceptedWrites.subList(low, acceptedWrites.size()));
  }

  synchronized long version() {
    return version;
  }

  private NavigableMap<String, StoredObject> objects(String kind) {
    return kinds.computeIfAbsent(kind, key -> new TreeMap<>());
  }

  private WriteResult put(String type, String kind, String name, JsonNode spec) {
    StoredObject object = new StoredObject(kind, name, ++version, spec);
    objects(kind).put(name, object);
    publish(new Change(type, object));
    return new WriteResult.Written(object);
  }

  private void publish(Change change) {
    acceptedWrites.add(AcceptedWrite.of(change, Instant.now()));
    replayableChanges.add(change);
    discardChanges(replayLimit);
    // The copy allows a watcher to unregister itself during the call.
    List.copyOf(watchers.getOrDefault(change.object().kind(), Set.of()))
        .forEach(watcher -> watcher.accept(change));
  }
}
