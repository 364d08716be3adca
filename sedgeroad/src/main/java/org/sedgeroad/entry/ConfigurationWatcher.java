package org.sedgeroad.entry;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.configuration.CompleteVersions;
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

/**
 * Lists the configuration in the store, and watches it while watching is switched on. Thread-safe.
 */
final class ConfigurationWatcher implements AutoCloseable {
  private static final long RETRY_MILLIS = 500;

  /**
   * Minimum time after which a watch is replaced. Each watch is replaced regularly, since a watch
   * on a half-open connection reports no error.
   */
  private static final long RENEWAL_MILLIS = 30_000;

  /** Time for which the store counts as unreachable after a watch or list has failed. */
  private static final long UNREACHABLE_MILLIS = 3_000;

  private final ObjectStore store;
  private final ConfigurationReplica replica;
  private final CompleteVersions versions;
  private final ScheduledExecutorService timer;
  private final MonotonicClock clock;
  private final EventLog log;
  private final Consumer<StoredObject> changeConsumer;
  private final Map<String, OpenWatch> watches = new ConcurrentHashMap<>();
  private volatile boolean watching;
  private volatile long unreachableUntilNanos;

  /**
   * Creates a watcher that is not watching yet.
   *
   * @param changeConsumer receives each object from a watch; applies it and records its version
   */
  ConfigurationWatcher(
      ObjectStore store,
      ConfigurationReplica replica,
      CompleteVersions versions,
      ScheduledExecutorService timer,
      MonotonicClock clock,
      EventLog log,
      Consumer<StoredObject> changeConsumer) {
    this.store = store;
    this.replica = replica;
    this.versions = versions;
    this.timer = timer;
    this.clock = clock;
    this.log = log;
    this.changeConsumer = changeConsumer;
    this.unreachableUntilNanos = clock.nanos();
  }

  /** Starts or ends watching; has no effect if watching is already in the wanted state. */
  synchronized void setWatching(boolean wanted) {
    if (wanted == watching) {
      return;
    }
    watching = wanted;
    log.log(wanted ? LogEvent.WATCHES_STARTED : LogEvent.WATCHES_ENDED);
    if (wanted) {
      Kinds.REPLICATED.forEach(kind -> timer.execute(() -> open(kind)));
    } else {
      watches.keySet().forEach(this::closeWatch);
    }
  }

  boolean isWatching() {
    return watching;
  }

  /** Returns whether this instance should watch the store but could not do so lately. */
  boolean isStoreUnreachable() {
    return watching && !clock.hasPassed(unreachableUntilNanos);
  }

  /** Lists all kinds once; blocks for some seconds if the store can't be reached. */
  void readAll() {
    for (String kind : Kinds.REPLICATED) {
      if (!list(kind)) {
        return;
      }
    }
  }

  @Override
  public void close() {
    setWatching(false);
  }

  /** Watches a kind from its complete version on; lists the kind first if it has none. */
  private void open(String kind) {
    if (!watching) {
      return;
    }
    if (versions.get(kind) == CompleteVersions.NONE && !list(kind)) {
      retryLater(kind);
      return;
    }
    OpenWatch watch = new OpenWatch(kind);
    synchronized (this) {
      if (!watching) {
        return;
      }
      closeWatch(kind);
      watches.put(kind, watch);
    }
    watch.start();
    long delay = RENEWAL_MILLIS + ThreadLocalRandom.current().nextLong(RENEWAL_MILLIS / 4);
    schedule(
        () -> {
          if (watches.get(kind) == watch) {
            open(kind);
          }
        },
        delay);
  }

  private boolean list(String kind) {
    StoreResult<ObjectList> result = store.list(kind, "");
    if (!(result instanceof StoreResult.Done<ObjectList> done)) {
      log.log(
          LogEvent.STORE_UNAVAILABLE, EventField.of("kind", kind), EventField.of("reason", result));
      return false;
    }
    long version = done.value().version();
    Set<String> present = new HashSet<>();
    for (StoredObject object : done.value().objects()) {
      present.add(object.name());
      replica.apply(object);
    }
    // Objects that the store no longer lists were deleted while this instance was not watching.
    replica.entries(kind).stream()
        .filter(held -> held.version() < version && !held.isDeleted())
        .filter(held -> !present.contains(held.name()))
        .forEach(held -> replica.apply(new StoredObject(kind, held.name(), version, null)));
    versions.advance(kind, CompleteVersions.NONE, version);
    return true;
  }

  private void retryLater(String kind) {
    unreachableUntilNanos = clock.deadlineAfterMillis(UNREACHABLE_MILLIS);
    schedule(() -> open(kind), RETRY_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_MILLIS));
  }

  private void schedule(Runnable task, long millis) {
    if (watching && !timer.isShutdown()) {
      timer.schedule(task, millis, TimeUnit.MILLISECONDS);
    }
  }

  private void closeWatch(String kind) {
    OpenWatch watch = watches.remove(kind);
    if (watch != null) {
      watch.close();
    }
  }

  /** A watch of one kind; ignores everything that arrives after it has been closed. */
  private final class OpenWatch implements WatchListener {
    private final String kind;
    private volatile AutoCloseable call = () -> {};
    private volatile boolean ended;

    OpenWatch(String kind) {
      this.kind = kind;
    }

    void start() {
      call = store.watch(kind, versions.get(kind), this);
      if (ended) {
        close();
      }
    }

    void close() {
      ended = true;
      try {
        call.close();
      } catch (Exception ignored) {
        // The connection is closed or broken in either case.
      }
    }

    @Override
    public void onChange(StoredObject object) {
      if (!ended) {
        changeConsumer.accept(object);
      }
    }

    @Override
    public void onClosed(String reason) {
      if (!ended) {
        ended = true;
        log.log(
            LogEvent.WATCH_RESTARTED, EventField.of("kind", kind), EventField.of("reason", reason));
        retryLater(kind);
      }
    }

    @Override
    public void onExpired(String reason) {
      if (!ended) {
        ended = true;
        schedule(
            () -> {
              if (list(kind)) {
                open(kind);
              } else {
                retryLater(kind);
              }
            },
            0);
      }
    }
  }
}
