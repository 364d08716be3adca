package org.sedgeroad.store;

import java.util.List;
import java.util.concurrent.Executor;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;

/**
 * Keeps a listener informed of all objects of one kind: lists them, watches for changes from the
 * version of the list, and starts over with a list when a watch ends. The listener is called on the
 * event loop.
 *
 * <p>A list uses no connection that was idle before, because what has ended a watch may have made
 * other connections silent.
 */
public final class KindWatcher implements AutoCloseable {

  /** Receives the objects of the kind and their changes. */
  public interface Listener {
    /**
     * Receives all objects that existed when they were listed. An object that this watcher
     * delivered before and that is missing now has been deleted.
     */
    void listed(List<StoredObject> objects);

    /** Receives an object that was created, changed or deleted. */
    void changed(StoredObject object);
  }

  /**
   * Delay before listing again after a first failure, in milliseconds. It is a tenth of the time
   * within which a change must take effect.
   */
  private static final long FIRST_RETRY_MILLIS = 250;

  /**
   * Longest delay before listing again, in milliseconds. Each further failure doubles the delay,
   * because refused calls have their price too; an outage lasts for seconds.
   */
  private static final long LONGEST_RETRY_MILLIS = 2_000;

  private final ObjectStore store;
  private final String kind;
  private final Executor workers;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog log;
  private final Listener listener;
  private final WatchPace pace;
  private AutoCloseable watch = () -> {};

  /** Version of the store up to which all changes were delivered. */
  private long version;

  /** Version of the newest object that was delivered. */
  private long newestChange;

  private int generation;

  /** Number of failures since the last successful list. */
  private int failures;

  private boolean connected;
  private boolean closed;

  /**
   * Creates a watcher, which does nothing until {@link #start} is called.
   *
   * @param store the store
   * @param kind kind of the objects
   * @param workers executor for blocking store calls
   * @param loop event loop that runs everything else
   * @param clock monotonic clock
   * @param log event log
   * @param pace how often a watch may be answered
   * @param listener receives the objects and their changes
   */
  public KindWatcher(
      ObjectStore store,
      String kind,
      Executor workers,
      EventLoop loop,
      MonotonicClock clock,
      EventLog log,
      WatchPace pace,
      Listener listener) {
    this.store = store;
    this.kind = kind;
    this.workers = workers;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.pace = pace;
    this.listener = listener;
  }

  /** Returns the version of the newest object or deletion that was delivered, 0 without any. */
  public long newestChange() {
    return newestChange;
  }

  /** Returns the version of the store up to which all changes were delivered. */
  public long version() {
    return version;
  }

  /** Returns whether the last list succeeded and its watch has not failed since. */
  public boolean isConnected() {
    return connected;
  }

  /** Lists the objects and then watches for changes. */
  public void start() {
    int startedGeneration = ++generation;
    workers.execute(
        () -> {
          store.renewConnections();
          StoreResult<ObjectList> result = store.list(kind, "");
          loop.execute(() -> listed(startedGeneration, result));
        });
  }

  /** Ends the current watch, which may have stopped delivering changes, and lists again. */
  public void restart(String reason) {
    log.log(LogEvent.WATCH_RESTARTED, EventField.of("kind", kind), EventField.of("reason", reason));
    endWatch();
    start();
  }

  @Override
  public void close() {
    closed = true;
    generation++;
    endWatch();
  }

  private void listed(int expectedGeneration, StoreResult<ObjectList> result) {
    if (expectedGeneration != generation || closed) {
      return;
    }
    if (result instanceof StoreResult.Done<ObjectList> done) {
      if (!connected) {
        connected = true;
        log.log(
            LogEvent.STORE_AVAILABLE,
            EventField.of("kind", kind),
            EventField.of("version", done.value().version()),
            EventField.of("objects", done.value().objects().size()));
      }
      failures = 0;
      version = Math.max(version, done.value().version());
      done.value().objects().forEach(this::noteChange);
      deliver(() -> listener.listed(done.value().objects()), "list");
      watch(expectedGeneration);
    } else {
      logUnavailable("list: " + result);
      retry(expectedGeneration, this::start);
    }
  }

  private void watch(int expectedGeneration) {
    watch =
        store.watch(
            kind,
            version,
            new WatchListener() {
              @Override
              public void onChange(StoredObject object) {
                loop.execute(() -> changed(expectedGeneration, object));
              }

              @Override
              public void onProgress(long reached) {
                loop.execute(() -> progressed(expectedGeneration, reached));
              }

              @Override
              public long quietMillis() {
                return pace.quietMillis();
              }

              @Override
              public long collectionMillis() {
                return pace.collectionMillis();
              }

              @Override
              public void onClosed(String reason) {
                loop.execute(() -> watchEnded(expectedGeneration, reason, false));
              }

              @Override
              public void onExpired(String reason) {
                loop.execute(() -> watchEnded(expectedGeneration, reason, true));
              }
            });
  }

  private void changed(int expectedGeneration, StoredObject object) {
    if (expectedGeneration == generation && !closed) {
      version = Math.max(version, object.version());
      noteChange(object);
      deliver(() -> listener.changed(object), object.name());
    }
  }

  /** Runs the listener; changes that follow are delivered also if it fails. */
  private void deliver(Runnable task, String name) {
    try {
      task.run();
    } catch (RuntimeException failure) {
      log.log(
          LogEvent.OBJECT_INVALID,
          EventField.of("kind", kind),
          EventField.of("name", name),
          EventField.of("cause", failure));
    }
  }

  private void progressed(int expectedGeneration, long reached) {
    if (expectedGeneration == generation && !closed) {
      version = Math.max(version, reached);
    }
  }

  private void noteChange(StoredObject object) {
    newestChange = Math.max(newestChange, object.version());
  }

  private void watchEnded(int expectedGeneration, String reason, boolean expired) {
    if (expectedGeneration != generation || closed) {
      return;
    }
    log.log(
        LogEvent.WATCH_RESTARTED,
        EventField.of("kind", kind),
        EventField.of("version", version),
        EventField.of("reason", reason));
    if (expired) {
      start();
    } else {
      // The store may have discarded the change history, or objects may have expired without an
      // event. A new list covers both cases.
      logUnavailable(reason);
      retry(expectedGeneration, this::start);
    }
  }

  private void logUnavailable(String reason) {
    if (connected) {
      connected = false;
      log.log(
          LogEvent.STORE_UNAVAILABLE,
          EventField.of("kind", kind),
          EventField.of("version", version),
          EventField.of("reason", reason));
    }
  }

  private void retry(int expectedGeneration, Runnable task) {
    long delay = Math.min(LONGEST_RETRY_MILLIS, FIRST_RETRY_MILLIS << Math.min(failures, 10));
    failures++;
    loop.scheduleAt(
        clock.deadlineAfterMillis(delay),
        () -> {
          if (expectedGeneration == generation && !closed) {
            task.run();
          }
        });
  }

  private void endWatch() {
    try {
      watch.close();
    } catch (Exception failure) {
      log.log(LogEvent.STORE_UNAVAILABLE, EventField.of("reason", failure));
    }
    watch = () -> {};
  }
}
