package org.sedgeroad.store;

import java.util.List;
import java.util.concurrent.Executor;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;

/**
 * Keeps up with the objects of one kind: a list, then watches, each from where the last one ended.
 * The listener is called on the event loop.
 */
public final class KindFollower implements AutoCloseable {

  /** Receives the objects of the kind. */
  public interface Listener {
    /** Receives all objects; those that are missing have been deleted. */
    void listed(List<StoredObject> objects);

    /** Receives an object that was created, changed or deleted. */
    void changed(StoredObject object);
  }

  /**
   * Pause before a list or watch is tried again after a failure, in milliseconds; a tenth of the
   * time in which a change must be in force.
   */
  private static final long RETRY_MILLIS = 250;

  private final ObjectStore store;
  private final String kind;
  private final Executor workers;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog log;
  private final Listener listener;
  private AutoCloseable watch = () -> {};
  private long version;
  private int generation;
  private boolean connected;
  private boolean closed;

  /**
   * Creates a follower; {@link #start} starts it.
   *
   * @param store the store
   * @param kind kind of the objects
   * @param workers runs the blocking calls
   * @param loop runs everything else
   * @param clock source of time
   * @param log the log
   * @param listener receives the objects
   */
  public KindFollower(
      ObjectStore store,
      String kind,
      Executor workers,
      EventLoop loop,
      MonotonicClock clock,
      EventLog log,
      Listener listener) {
    this.store = store;
    this.kind = kind;
    this.workers = workers;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.listener = listener;
  }

  /** Lists the objects and watches from there on. */
  public void start() {
    int current = ++generation;
    workers.execute(
        () -> {
          StoreResult<ObjectList> result = store.list(kind, "");
          loop.execute(() -> listed(current, result));
        });
  }

  /** Lists again, for a watch that may have gone silent. */
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

  // -----------------------------------------------------------------------

  private void listed(int current, StoreResult<ObjectList> result) {
    if (current != generation || closed) {
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
      version = done.value().version();
      listener.listed(done.value().objects());
      watch(current);
    } else {
      failed("list: " + result);
      retry(current, this::start);
    }
  }

  private void watch(int current) {
    watch =
        store.watch(
            kind,
            version,
            new WatchListener() {
              @Override
              public void onChange(StoredObject object) {
                loop.execute(() -> changed(current, object));
              }

              @Override
              public void onClosed(String reason) {
                loop.execute(() -> watchEnded(current, reason, false));
              }

              @Override
              public void onExpired(String reason) {
                loop.execute(() -> watchEnded(current, reason, true));
              }
            });
  }

  private void changed(int current, StoredObject object) {
    if (current == generation && !closed) {
      version = Math.max(version, object.version());
      listener.changed(object);
    }
  }

  private void watchEnded(int current, String reason, boolean expired) {
    if (current != generation || closed) {
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
      // The history may be gone, or objects may have lapsed unseen: a list shows both.
      failed(reason);
      retry(current, this::start);
    }
  }

  private void failed(String reason) {
    if (connected) {
      connected = false;
      log.log(
          LogEvent.STORE_UNAVAILABLE,
          EventField.of("kind", kind),
          EventField.of("version", version),
          EventField.of("reason", reason));
    }
  }

  private void retry(int current, Runnable task) {
    loop.at(
        clock.deadlineAfterMillis(RETRY_MILLIS),
        () -> {
          if (current == generation && !closed) {
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
