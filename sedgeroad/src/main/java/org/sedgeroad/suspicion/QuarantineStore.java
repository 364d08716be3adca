package org.sedgeroad.suspicion;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.store.KindWatcher;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WriteOutcome;

/**
 * Keeps quarantines in the store, so that they survive a restart of all instances, and allows one
 * trial at a time in the whole fleet. Used on the event loop.
 */
public final class QuarantineStore implements KindWatcher.Listener {
  /** Kind of the objects; the name of an object is the key. */
  public static final String KIND = "crash-quarantines";

  /** Time between a quarantine and its first trial, in milliseconds. */
  static final long FIRST_TRIAL_MILLIS = 4_000;

  /** Factor between the times before two trials; each failed one costs an endpoint. */
  private static final long TRIAL_FACTOR = 16;

  /** Longest time before a trial, in milliseconds. */
  private static final long LONGEST_TRIAL_MILLIS = 3_600_000;

  /**
   * Time after a due trial after which a quarantine is deleted, in milliseconds; more than the
   * clocks of two instances may differ.
   */
  private static final long UNUSED_MILLIS = 86_400_000;

  /** Delay before a deletion that the store did not answer is repeated, in milliseconds. */
  private static final long DELETION_RETRY_MILLIS = 2_000;

  private record Stored(long version, CrashSeries series, int trials, long trialAtMillis) {}

  private final StoreWriter writer;
  private final Executor workers;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final LongSupplier wallMillis;
  private final EventLog log;
  private final Consumer<Map<String, CrashSeries>> listener;
  private final Map<String, Stored> quarantines = new HashMap<>();

  /**
   * Numbers of series that ended with an answer, by key; objects with these or earlier series are
   * to be deleted.
   */
  private final Map<String, Long> answered = new HashMap<>();

  /** Whether a write is in progress; there is one at a time, because other calls matter more. */
  private boolean writing;

  /**
   * Creates a store without quarantines; a watch of {@link #KIND} delivers them.
   *
   * @param writer writes objects, not null
   * @param workers executor for blocking store calls, not null
   * @param loop event loop, not null
   * @param clock monotonic clock of the loop, not null
   * @param wallMillis source of wall-clock time in milliseconds, not null
   * @param log the log, not null
   * @param listener receives the series of stored quarantines, not null
   */
  public QuarantineStore(
      StoreWriter writer,
      Executor workers,
      EventLoop loop,
      MonotonicClock clock,
      LongSupplier wallMillis,
      EventLog log,
      Consumer<Map<String, CrashSeries>> listener) {
    this.writer = writer;
    this.workers = workers;
    this.loop = loop;
    this.clock = clock;
    this.wallMillis = wallMillis;
    this.log = log;
    this.listener = listener;
  }

  /**
   * Returns the time until the next trial of a request, in milliseconds, at least 0.
   *
   * @param keys the quarantined keys of the request
   */
  long millisUntilTrial(Collection<String> keys) {
    OptionalLong last =
        storedKeys(keys).stream().mapToLong(key -> quarantines.get(key).trialAtMillis()).max();
    return last.isPresent()
        ? Math.max(0, last.getAsLong() - wallMillis.getAsLong())
        : FIRST_TRIAL_MILLIS;
  }

  /** Returns those of some keys whose quarantine is stored, in an order that all instances use. */
  private List<String> storedKeys(Collection<String> keys) {
    return keys.stream().filter(quarantines::containsKey).sorted().toList();
  }

  /** Stores the quarantine of a key unless it is stored or another write is in progress. */
  void add(String key, CrashSeries series) {
    Stored stored = quarantines.get(key);
    if (stored != null && stored.series().number() >= series.number()) {
      return;
    }
    answered.remove(key);
    long version = stored == null ? 0 : stored.version();
    int trials = stored == null ? 0 : stored.trials();
    long trialAt =
        stored == null ? wallMillis.getAsLong() + FIRST_TRIAL_MILLIS : stored.trialAtMillis();
    write(key, new Stored(version, series, trials, trialAt), written -> {});
  }

  /**
   * Asks for a trial of a request. A trial is due once it is due for each of the keys, and counts
   * as one of each, because any of them may be the cause.
   *
   * @param keys the quarantined keys of the request
   * @param receiver is called with whether this request may be sent as the trial, at once if no
   *     trial is due
   */
  void requestTrial(Collection<String> keys, Consumer<Boolean> receiver) {
    Iterator<String> stored = storedKeys(keys).iterator();
    if (stored.hasNext() && millisUntilTrial(keys) == 0) {
      claimTrial(stored, receiver);
    } else {
      receiver.accept(false);
    }
  }

  /** Claims a trial of the first of some keys, and if that succeeds of the others. */
  private void claimTrial(Iterator<String> keys, Consumer<Boolean> receiver) {
    String key = keys.next();
    Stored stored = quarantines.get(key);
    if (stored == null) {
      receiver.accept(false);
      return;
    }
    write(
        key,
        afterTrial(stored),
        claimed -> {
          receiver.accept(claimed);
          if (claimed && keys.hasNext()) {
            claimTrial(keys, ignored -> {});
          }
        });
  }

  private Stored afterTrial(Stored stored) {
    int trials = stored.trials() + 1;
    long wait = FIRST_TRIAL_MILLIS;
    for (int trial = 0; trial < trials && wait < LONGEST_TRIAL_MILLIS; trial++) {
      wait *= TRIAL_FACTOR;
    }
    long trialAt = wallMillis.getAsLong() + Math.min(wait, LONGEST_TRIAL_MILLIS);
    return new Stored(stored.version(), stored.series(), trials, trialAt);
  }

  /**
   * Deletes the quarantine of a key whose requests are answered again.
   *
   * @param key the key
   * @param ended the series that the answer ended
   */
  void remove(String key, CrashSeries ended) {
    Stored stored = quarantines.remove(key);
    if (stored != null || writing) {
      answered.put(key, ended.number());
    }
    if (stored != null) {
      delete(key, stored.version());
    }
  }

  private void delete(String key, long version) {
    execute(
        key,
        () -> {
          StoreResult<StoredObject> result = writer.store().delete(KIND, key, version);
          loop.execute(() -> deleted(key, version, result));
        });
  }

  private void deleted(String key, long version, StoreResult<StoredObject> result) {
    boolean superseded = result instanceof StoreResult.Conflict;
    if (result instanceof StoreResult.Done || result instanceof StoreResult.Absent || superseded) {
      // The watch delivers a changed object, which is then deleted in its new version.
      return;
    }
    logNotStored(key, result);
    loop.scheduleAt(
        clock.deadlineAfterMillis(DELETION_RETRY_MILLIS),
        () -> {
          if (answered.containsKey(key)) {
            delete(key, version);
          }
        });
  }

  @Override
  public void listed(List<StoredObject> objects) {
    Set<String> missing = new HashSet<>(quarantines.keySet());
    objects.forEach(object -> missing.remove(object.name()));
    missing.forEach(this::removed);
    objects.forEach(this::changed);
  }

  private void removed(String key) {
    answered.remove(key);
    Stored before = quarantines.remove(key);
    if (before != null) {
      listener.accept(Map.of(key, before.series().afterAnswer()));
    }
  }

  @Override
  public void changed(StoredObject object) {
    if (object.isDeleted()) {
      removed(object.name());
      return;
    }
    Stored stored = decode(object);
    if (stored.series().length() < SuspicionTable.QUARANTINE_LENGTH) {
      log.log(
          LogEvent.OBJECT_INVALID,
          EventField.of("kind", KIND),
          EventField.of("name", object.name()));
      return;
    }
    quarantines.put(object.name(), stored);
    boolean hasEnded =
        stored.series().number() <= answered.getOrDefault(object.name(), Long.MIN_VALUE);
    boolean unused = stored.trialAtMillis() + UNUSED_MILLIS < wallMillis.getAsLong();
    if (hasEnded || unused) {
      // An object that has ended was changed while it was being deleted.
      remove(object.name(), stored.series());
    } else {
      answered.remove(object.name());
      listener.accept(Map.of(object.name(), stored.series()));
    }
  }

  private void write(String key, Stored next, Consumer<Boolean> receiver) {
    if (writing) {
      receiver.accept(false);
      return;
    }
    writing = true;
    execute(
        key,
        () -> {
          WriteOutcome outcome =
              next.version() == 0
                  ? writer.create(KIND, key, encode(next))
                  : writer.update(KIND, key, next.version(), encode(next));
          loop.execute(() -> written(key, outcome, receiver));
        });
  }

  private void execute(String key, Runnable call) {
    try {
      workers.execute(call);
    } catch (RejectedExecutionException stopping) {
      logNotStored(key, "the instance is stopping");
    }
  }

  private void logNotStored(String key, Object reason) {
    log.log(
        LogEvent.QUARANTINE_NOT_STORED, EventField.of("key", key), EventField.of("reason", reason));
  }

  private void written(String key, WriteOutcome outcome, Consumer<Boolean> receiver) {
    writing = false;
    if (outcome instanceof WriteOutcome.Written done) {
      changed(done.object());
    } else if (outcome instanceof WriteOutcome.Lost lost) {
      if (lost.current() != null) {
        changed(lost.current());
      }
    } else {
      logNotStored(key, outcome);
    }
    receiver.accept(outcome instanceof WriteOutcome.Written);
  }

  private static ObjectNode encode(Stored stored) {
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    spec.put("series", stored.series().number());
    stored.series().crashes().forEach(spec.putArray("crashes")::add);
    spec.put("trials", stored.trials());
    spec.put("trial_at", stored.trialAtMillis());
    return spec;
  }

  private static Stored decode(StoredObject object) {
    JsonNode spec = object.spec();
    List<String> crashes = new ArrayList<>();
    spec.path("crashes").forEach(crash -> crashes.add(crash.asText()));
    return new Stored(
        object.version(),
        new CrashSeries(spec.path("series").asLong(), crashes, false),
        spec.path("trials").asInt(),
        spec.path("trial_at").asLong());
  }
}
