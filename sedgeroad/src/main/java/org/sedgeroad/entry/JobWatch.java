package org.sedgeroad.entry;

import java.util.function.Supplier;
import org.sedgeroad.store.KindWatcher;

/**
 * Watches the heads of all jobs while this instance is responsible for that. Used on the event
 * loop.
 *
 * <p>Each instance lists the heads when it starts, because an earlier process of it may own jobs.
 * After that, one instance of each failure domain watches them: a watch is answered at each change,
 * so that the calls of watches by all instances would grow with the product of instances and jobs.
 */
final class JobWatch implements AutoCloseable {
  /**
   * Pause of the watch after an answer with changes, in milliseconds. Several heads change in a
   * second. An orphaned job is taken over after 2.5 s of silence of its owner, so that a head that
   * is known 2 s after its creation delays no takeover.
   */
  static final long COLLECTION_MILLIS = 2_000;

  private final Supplier<KindWatcher> factory;
  private KindWatcher watcher;
  private boolean closed;

  /**
   * Creates a watch that does nothing.
   *
   * @param factory creates a watcher of the job heads that is not started
   */
  JobWatch(Supplier<KindWatcher> factory) {
    this.factory = factory;
  }

  /** Lists the heads, and watches them at least until they have been listed. */
  void start() {
    if (watcher == null && !closed) {
      watcher = factory.get();
      watcher.start();
    }
  }

  /**
   * Starts or ends the watch.
   *
   * @param responsible whether this instance is to watch the heads
   */
  void update(boolean responsible) {
    if (responsible) {
      start();
    } else if (watcher != null && watcher.version() > 0) {
      watcher.close();
      watcher = null;
    }
  }

  @Override
  public void close() {
    closed = true;
    if (watcher != null) {
      watcher.close();
    }
  }
}
