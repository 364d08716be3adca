package org.sedgeroad.entry;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WatchListener;

/** Keeps a replica current by one list and one watch per configuration kind. */
final class ConfigurationWatcher implements AutoCloseable {
  private static final long RETRY_MILLIS = 500;

  private final ObjectStore store;
  private final ConfigurationReplica replica;
  private final ScheduledExecutorService timer;
  private final EventLog log;
  private final Map<String, AutoCloseable> watches = new ConcurrentHashMap<>();
  private volatile boolean closed;

  ConfigurationWatcher(
      ObjectStore store,
      ConfigurationReplica replica,
      ScheduledExecutorService timer,
      EventLog log) {
    this.store = store;
    this.replica = replica;
    this.timer = timer;
    this.log = log;
  }

  void start() {
    Kinds.REPLICATED.forEach(kind -> timer.execute(() -> listAndWatch(kind)));
  }

  /** Returns whether each kind has been read at least once. */
  boolean isComplete() {
    return watches.keySet().containsAll(List.copyOf(Kinds.REPLICATED));
  }

  @Override
  public void close() {
    closed = true;
    watches.values().forEach(ConfigurationWatcher::closeQuietly);
  }

  private void listAndWatch(String kind) {
    if (closed) {
      return;
    }
    StoreResult<ObjectList> result = store.list(kind, "");
    if (!(result instanceof StoreResult.Done<ObjectList> done)) {
      log.log(
          LogEvent.STORE_UNAVAILABLE, EventField.of("kind", kind), EventField.of("reason", result));
      retry(kind);
      return;
    }
    done.value().objects().forEach(replica::apply);
    watches.put(
        kind,
        store.watch(
            kind,
            done.value().version(),
            new WatchListener() {
              @Override
              public void onChange(StoredObject object) {
                replica.apply(object);
              }

              @Override
              public void onClosed(String reason) {
                if (!closed) {
                  log.log(
                      LogEvent.WATCH_RESTARTED,
                      EventField.of("kind", kind),
                      EventField.of("reason", reason));
                  retry(kind);
                }
              }
            }));
  }

  private void retry(String kind) {
    if (!closed) {
      timer.schedule(() -> listAndWatch(kind), RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private static void closeQuietly(AutoCloseable watch) {
    try {
      watch.close();
    } catch (Exception ignored) {
      // The connection is gone either way.
    }
  }
}
