package org.sedgeroad.suspicion;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.sedgeroad.EventLoop;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.exchange.ChangeExchange;
import org.sedgeroad.gateway.ClientRequest;

/**
 * Keeps requests that crash endpoints from being sent. Batch items are no suspects: they are owed
 * whatever happened while they ran. Used on the event loop.
 */
public final class SuspicionGuard {
  private final SuspicionTable table;
  private final ChangeExchange<CrashSeries> exchange;
  private final QuarantineStore store;
  private final EventLoop loop;
  private final EventLog log;

  /** Creates a guard; no argument may be null. */
  public SuspicionGuard(
      SuspicionTable table,
      ChangeExchange<CrashSeries> exchange,
      QuarantineStore store,
      EventLoop loop,
      EventLog log) {
    this.table = table;
    this.exchange = exchange;
    this.store = store;
    this.loop = loop;
    this.log = log;
  }

  /** Returns the keys by which a request is suspected. */
  public List<String> keys(ClientRequest request) {
    return SuspectKeys.of(request);
  }

  /** Returns whether no crash is known, so that nothing is known against any request. */
  public boolean isEmpty() {
    return table.isEmpty();
  }

  /** Returns what is known against a request with the keys. */
  public Suspicion suspicion(List<String> keys) {
    return table.suspicion(keys);
  }

  /** Returns the series of the keys, to be passed to {@link #recordCrash} if the run breaks. */
  public Map<String, CrashSeries> series(List<String> keys) {
    return table.series(keys);
  }

  /** Returns the time until a quarantined request with some keys is tried, in milliseconds. */
  public long millisUntilTrial(List<String> keys) {
    return store.millisUntilTrial(table.blamedKeys(keys));
  }

  /**
   * Asks whether a quarantined request may be sent nevertheless, to find out whether it is sound.
   *
   * @param keys keys of the request, not null
   * @param receiver is called once, at once or later, not null
   */
  public void requestTrial(List<String> keys, Consumer<Boolean> receiver) {
    List<String> blamed = table.blamedKeys(keys);
    blamed.forEach(key -> store.add(key, table.series(key)));
    store.requestTrial(blamed, receiver);
  }

  /**
   * Records that an endpoint ended, as far as can be told, before it answered a request.
   *
   * @param endpoint name of the endpoint
   * @param atStart series of the request's keys when it was sent
   */
  public void recordCrash(String endpoint, Map<String, CrashSeries> atStart) {
    Set<String> suspected = new HashSet<>(atStart.keySet());
    suspected.removeIf(key -> table.series(key).length() >= SuspicionTable.QUARANTINE_LENGTH);
    if (table.recordCrash(endpoint, atStart).isEmpty()) {
      return;
    }
    exchange.changed();
    suspected.removeIf(key -> table.series(key).length() < SuspicionTable.QUARANTINE_LENGTH);
    if (!suspected.isEmpty()) {
      Map<String, Long> numbers = new HashMap<>();
      suspected.forEach(key -> numbers.put(key, table.series(key).number()));
      loop.scheduleAt(table.decisionNanos(suspected), () -> logQuarantines(numbers));
    }
  }

  /**
   * Logs the quarantines that came into force; reports of answers may have prevented them. Keys
   * with the same crashes share a line.
   *
   * @param numbers numbers of the series by key
   */
  private void logQuarantines(Map<String, Long> numbers) {
    Map<CrashSeries, Set<String>> keys = new HashMap<>();
    numbers.forEach(
        (key, number) -> {
          CrashSeries series = table.series(key);
          if (series.number() == number && !series.answered()) {
            keys.computeIfAbsent(series, unused -> new TreeSet<>()).add(key);
          }
        });
    keys.forEach(
        (series, common) ->
            log.log(
                LogEvent.REQUEST_QUARANTINED,
                EventField.of("key", String.join(",", common)),
                EventField.of("series", series.number()),
                EventField.of("crashes", String.join(",", series.crashes()))));
  }

  /** Records that an endpoint has answered a request with success, which clears its keys. */
  public void recordAnswer(List<String> keys) {
    Set<String> changed = table.recordAnswer(keys);
    if (!changed.isEmpty()) {
      exchange.changed();
      changed.forEach(key -> store.remove(key, table.series(key)));
    }
  }
}
