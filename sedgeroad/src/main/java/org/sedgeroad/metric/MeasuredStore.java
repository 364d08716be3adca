package org.sedgeroad.metric;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.function.Supplier;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WatchListener;

/** Forwards calls to another store and reports the duration and outcome of each except watches. */
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
     * @param call name of the called method
     * @param outcome simple name of the type of the result in lower case
     * @param nanos duration in nanoseconds
     */
    void record(String call, String outcome, long nanos);
  }

  @Override
  public StoreResult<StoredObject> get(String kind, String name) {
    return measure("get", () -> store.get(kind, name));
  }

  @Override
  public StoreResult<StoredObject> getStale(String kind, String name) {
    return measure("get_stale", () -> store.getStale(kind, name));
  }

  @Override
  public StoreResult<StoredObject> create(String kind, String name, JsonNode spec) {
    return measure("create", () -> store.create(kind, name, spec));
  }

  @Override
  public StoreResult<StoredObject> update(String kind, String name, long version, JsonNode spec) {
    return measure("update", () -> store.update(kind, name, version, spec));
  }

  @Override
  public StoreResult<StoredObject> delete(String kind, String name, long version) {
    return measure("delete", () -> store.delete(kind, name, version));
  }

  @Override
  public StoreResult<ObjectList> list(String kind, String prefix) {
    return measure("list", () -> store.list(kind, prefix));
  }

  @Override
  public AutoCloseable watch(String kind, long afterVersion, WatchListener listener) {
    return store.watch(kind, afterVersion, listener);
  }

  @Override
  public void renewConnections() {
    store.renewConnections();
  }

  @Override
  public void close() {
    store.close();
  }

  private <T> StoreResult<T> measure(String call, Supplier<StoreResult<T>> operation) {
    long start = System.nanoTime();
    StoreResult<T> result = operation.get();
    String outcome = result.getClass().getSimpleName().toLowerCase(Locale.ROOT);
    recorder.record(call, outcome, System.nanoTime() - start);
    return result;
  }
}
