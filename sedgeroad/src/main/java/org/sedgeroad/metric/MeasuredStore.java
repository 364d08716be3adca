package org.sedgeroad.metric;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.function.Supplier;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WatchListener;

/**
 * Forwards calls to another store and reports the kind, duration and outcome of each. A watch is
 * reported each time it is answered, because each answer ends one call.
 */
final class MeasuredStore implements ObjectStore {
  private final ObjectStore store;
  private final Recorder recorder;

  MeasuredStore(ObjectStore store, Recorder recorder) {
    this.store = store;
    this.recorder = recorder;
  }

  /** Receives the measurement of each call. */
  @FunctionalInterface
  interface Recorder {
    /**
     * Records one call.
     *
     * @param kind kind of the objects
     * @param call name of the called method
     * @param outcome simple name of the type of the result in lower case
     * @param nanos duration in nanoseconds
     */
    void record(String kind, String call, String outcome, long nanos);

    /**
     * Records the end of one call of a watch.
     *
     * @param kind kind of the objects
     * @param outcome changed, quiet, failed or expired
     */
    default void recordWatch(String kind, String outcome) {}
  }

  @Override
  public StoreResult<StoredObject> get(String kind, String name) {
    return measure(kind, "get", () -> store.get(kind, name));
  }

  @Override
  public StoreResult<StoredObject> getStale(String kind, String name) {
    return measure(kind, "get_stale", () -> store.getStale(kind, name));
  }

  @Override
  public StoreResult<StoredObject> create(String kind, String name, JsonNode spec) {
    return measure(kind, "create", () -> store.create(kind, name, spec));
  }

  @Override
  public StoreResult<StoredObject> update(String kind, String name, long version, JsonNode spec) {
    return measure(kind, "update", () -> store.update(kind, name, version, spec));
  }

  @Override
  public StoreResult<StoredObject> delete(String kind, String name, long version) {
    return measure(kind, "delete", () -> store.delete(kind, name, version));
  }

  @Override
  public StoreResult<ObjectList> list(String kind, String prefix) {
    return measure(kind, "list", () -> store.list(kind, prefix));
  }

  @Override
  public AutoCloseable watch(String kind, long afterVersion, WatchListener listener) {
    return store.watch(kind, afterVersion, new MeasuredListener(kind, listener));
  }

  @Override
  public void renewConnections() {
    store.renewConnections();
  }

  @Override
  public void close() {
    store.close();
  }

  private <T> StoreResult<T> measure(String kind, String call, Supplier<StoreResult<T>> operation) {
    long start = System.nanoTime();
    StoreResult<T> result = operation.get();
    String outcome = result.getClass().getSimpleName().toLowerCase(Locale.ROOT);
    recorder.record(kind, call, outcome, System.nanoTime() - start);
    return result;
  }

  /** Reports each answer to a watch. */
  private final class MeasuredListener implements WatchListener {
    private final String kind;
    private final WatchListener listener;
    private boolean changed;

    MeasuredListener(String kind, WatchListener listener) {
      this.kind = kind;
      this.listener = listener;
    }

    @Override
    public void onChange(StoredObject object) {
      changed = true;
      listener.onChange(object);
    }

    @Override
    public void onProgress(long version) {
      recorder.recordWatch(kind, changed ? "changed" : "quiet");
      changed = false;
      listener.onProgress(version);
    }

    @Override
    public long quietMillis() {
      return listener.quietMillis();
    }

    @Override
    public long collectionMillis() {
      return listener.collectionMillis();
    }

    @Override
    public void onClosed(String reason) {
      recorder.recordWatch(kind, "failed");
      listener.onClosed(reason);
    }

    @Override
    public void onExpired(String reason) {
      recorder.recordWatch(kind, "expired");
      listener.onExpired(reason);
    }
  }
}
