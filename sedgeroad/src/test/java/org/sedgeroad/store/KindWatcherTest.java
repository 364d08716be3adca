package org.sedgeroad.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.placement.VirtualTime;

/** Guards against missed changes, and against calls without end while the store is away. */
class KindWatcherTest {
  private final VirtualTime time = new VirtualTime();
  private final List<StoredObject> changes = new ArrayList<>();
  private final List<WatchListener> watches = new ArrayList<>();
  private boolean available = true;
  private int lists;
  private long storeVersion = 10;

  private final KindWatcher watcher =
      new KindWatcher(
          new ListedStore(),
          "servers",
          Runnable::run,
          time,
          time,
          EventLog.of("test"),
          () -> 4_000,
          new KindWatcher.Listener() {
            @Override
            public void listed(List<StoredObject> objects) {
              changes.addAll(objects);
            }

            @Override
            public void changed(StoredObject object) {
              changes.add(object);
            }
          });

  /** A store that can only be listed and watched. */
  private final class ListedStore implements ObjectStore {
    @Override
    public StoreResult<StoredObject> get(String kind, String name) {
      throw new UnsupportedOperationException();
    }

    @Override
    public StoreResult<StoredObject> create(String kind, String name, JsonNode spec) {
      throw new UnsupportedOperationException();
    }

    @Override
    public StoreResult<StoredObject> update(String kind, String name, long version, JsonNode spec) {
      throw new UnsupportedOperationException();
    }

    @Override
    public StoreResult<StoredObject> delete(String kind, String name, long version) {
      throw new UnsupportedOperationException();
    }

    @Override
    public StoreResult<ObjectList> list(String kind, String prefix) {
      lists++;
      return available
          ? new StoreResult.Done<>(new ObjectList(storeVersion, List.of(object(7))))
          : new StoreResult.Unavailable<>("down");
    }

    @Override
    public AutoCloseable watch(String kind, long afterVersion, WatchListener listener) {
      watches.add(listener);
      return () -> {};
    }

    @Override
    public void close() {}
  }

  private static StoredObject object(long version) {
    return new StoredObject(
        "servers", "s" + version, version, JsonNodeFactory.instance.objectNode());
  }

  private void run(double millis) {
    time.runUntil(time.nanos() / 1e6 + millis);
  }

  @Nested
  class Outage {
    @Test
    void causesFewCallsAndEndsSoonAfterTheStoreReturns() {
      available = false;
      watcher.start();
      run(10_000);
      assertTrue(lists <= 8, lists + " lists");
      available = true;
      run(2_100);
      assertEquals(1, changes.size());
    }

    @Test
    void isFollowedByAShortDelayNextTime() {
      available = false;
      watcher.start();
      run(5_000);
      available = true;
      run(2_100);
      int before = lists;
      watches.get(0).onClosed("reset");
      run(300);
      assertEquals(before + 1, lists);
    }
  }

  @Nested
  class Versions {
    @Test
    void tellChangesFromProgress() {
      watcher.start();
      run(10);
      assertEquals(7, watcher.newestChange());
      assertEquals(10, watcher.version());
      watches.get(0).onProgress(25);
      run(10);
      assertEquals(7, watcher.newestChange());
      assertEquals(25, watcher.version());
      watches.get(0).onChange(object(30));
      run(10);
      assertEquals(30, watcher.newestChange());
      assertEquals(30, watcher.version());
    }
  }
}
