package org.sedgeroad.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes objects and determines the outcome of a write whose answer was lost.
 *
 * <p>Each write marks the object with the writer's name and a number that is used once. After a
 * lost answer, the write is sent again under the same version condition, so that at most one of the
 * two can succeed. If it then conflicts, or no attempt is answered, the object is read back: if it
 * carries the mark of this write, the write took effect; otherwise another writer won, or the
 * outcome is unknown. Thread-safe.
 */
public final class StoreWriter {
  private static final int MAX_ATTEMPTS = 5;
  private static final long RETRY_DELAY_MILLIS = 20;

  private final ObjectStore store;
  private final String writer;
  private final Runnable pause;
  private final AtomicLong writeNumbers = new AtomicLong();

  private StoreWriter(ObjectStore store, String writer, Runnable pause) {
    this.store = store;
    this.writer = writer;
    this.pause = pause;
  }

  /**
   * Returns a writer.
   *
   * @param store the store
   * @param writer name of this run of the process; no other run or process may use it
   */
  public static StoreWriter of(ObjectStore store, String writer) {
    return of(store, writer, StoreWriter::sleep);
  }

  /**
   * Returns a writer with a given pause between attempts, for tests with virtual time.
   *
   * @param store the store
   * @param writer name of this run of the process; no other run or process may use it
   * @param pause waits before the next attempt
   */
  public static StoreWriter of(ObjectStore store, String writer, Runnable pause) {
    return new StoreWriter(store, Objects.requireNonNull(writer), pause);
  }

  /** Returns the store, for reads. */
  public ObjectStore store() {
    return store;
  }

  /** Returns the name with which this writer marks objects. */
  public String name() {
    return writer;
  }

  /** Creates an object; {@link WriteOutcome.Lost} with the existing object if the name exists. */
  public WriteOutcome create(String kind, String name, ObjectNode spec) {
    return write(kind, name, 0, spec);
  }

  /** Replaces an object; {@link WriteOutcome.Lost} if it no longer has the given version. */
  public WriteOutcome update(String kind, String name, long version, ObjectNode spec) {
    return write(kind, name, version, spec);
  }

  private WriteOutcome write(String kind, String name, long version, ObjectNode spec) {
    long number = writeNumbers.incrementAndGet();
    ObjectNode marked = spec.deepCopy();
    marked.put("writer", writer);
    marked.put("write_number", number);
    boolean mayHaveTakenEffect = false;
    String reason = "";
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      StoreResult<StoredObject> result =
          version == 0
              ? store.create(kind, name, marked)
              : store.update(kind, name, version, marked);
      if (result instanceof StoreResult.Done<StoredObject> done) {
        return new WriteOutcome.Written(done.value());
      }
      if (result instanceof StoreResult.Conflict || result instanceof StoreResult.Absent) {
        return readBack(kind, name, number, mayHaveTakenEffect);
      }
      if (result instanceof StoreResult.Rejected<StoredObject> rejected) {
        // An earlier attempt with the same content was refused for the same reason.
        return new WriteOutcome.Rejected(rejected.reason());
      }
      if (!mayHaveTakenEffect && !(result instanceof StoreResult.Unknown)) {
        return notWritten(result);
      }
      mayHaveTakenEffect = true;
      reason = result.toString();
      pause.run();
    }
    WriteOutcome last = readBack(kind, name, number, true);
    boolean unchanged =
        last instanceof WriteOutcome.Lost lost
            && (lost.current() == null ? version == 0 : lost.current().version() == version);
    return unchanged ? new WriteOutcome.Unknown(reason) : last;
  }

  private WriteOutcome readBack(String kind, String name, long number, boolean mayHaveTakenEffect) {
    StoreResult<StoredObject> read = store.get(kind, name);
    for (int attempt = 1; attempt < MAX_ATTEMPTS && !isDefinite(read); attempt++) {
      pause.run();
      read = store.get(kind, name);
    }
    if (read instanceof StoreResult.Done<StoredObject> done) {
      boolean own =
          done.value().spec().path("writer").asText().equals(writer)
              && done.value().spec().path("write_number").asLong() == number;
      return own ? new WriteOutcome.Written(done.value()) : new WriteOutcome.Lost(done.value());
    }
    if (read instanceof StoreResult.Absent) {
      return new WriteOutcome.Lost(null);
    }
    return mayHaveTakenEffect
        ? new WriteOutcome.Unknown(read.toString())
        : new WriteOutcome.NotWritten("conflict; " + read, Instant.now().plusSeconds(1));
  }

  private static boolean isDefinite(StoreResult<StoredObject> result) {
    return result instanceof StoreResult.Done || result instanceof StoreResult.Absent;
  }

  private static WriteOutcome notWritten(StoreResult<StoredObject> result) {
    if (result instanceof StoreResult.Throttled<StoredObject> throttled) {
      return new WriteOutcome.NotWritten("store refuses by rate", throttled.retryAt());
    }
    return new WriteOutcome.NotWritten(result.toString(), Instant.now().plusSeconds(1));
  }

  private static void sleep() {
    try {
      Thread.sleep(RETRY_DELAY_MILLIS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
