package org.sedgeroad.suspicion;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.exchange.ChangeTable;

/**
 * Series of crashes by what the requests have in common, and the verdicts that follow. Used on the
 * event loop.
 *
 * <p>A key is quarantined once {@link #QUARANTINE_LENGTH} endpoints have crashed one after the
 * other under requests with it while none was answered. If several keys were present at all these
 * crashes, only requests with all of them are quarantined: any of them may be the cause.
 */
public final class SuspicionTable implements ChangeTable<CrashSeries> {
  /** Maximum number of series in a message to other instances. */
  public static final int SERIES_IN_MESSAGE = 16;

  /** Number of crashes in a row from which on requests are no longer sent. */
  static final int QUARANTINE_LENGTH = 3;

  /**
   * Time for which requests wait for reports of answers at other instances, in milliseconds; longer
   * than the exchange through the hubs takes.
   */
  static final long REPORT_WAIT_MILLIS = 250;

  /**
   * Time without another crash after which a series that is too short for a quarantine is over, in
   * milliseconds.
   */
  private static final long RETENTION_MILLIS = 600_000;

  private static final int MAXIMUM_SERIES = 1_024;

  /**
   * A series and its last change.
   *
   * @param longest length of the series before it was answered
   */
  private record Entry(CrashSeries series, int longest, long changedNanos, long decidedAtNanos) {}

  private final MonotonicClock clock;
  private final Map<String, Entry> entries = new HashMap<>();

  /** Creates an empty table; the clock must not be null. */
  public SuspicionTable(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Returns whether no crash is remembered. */
  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns the series of a key, {@link CrashSeries#NONE} without a crash. */
  CrashSeries series(String key) {
    Entry entry = entries.get(key);
    if (entry == null) {
      return CrashSeries.NONE;
    }
    boolean expired =
        entry.series().length() < QUARANTINE_LENGTH
            && clock.nanos() - entry.changedNanos() >= RETENTION_MILLIS * 1_000_000L;
    return expired ? entry.series().afterAnswer() : entry.series();
  }

  /** Returns the series of some keys. */
  Map<String, CrashSeries> series(List<String> keys) {
    Map<String, CrashSeries> known = new HashMap<>();
    keys.forEach(key -> known.put(key, series(key)));
    return known;
  }

  /**
   * Records that an endpoint crashed before it answered a request.
   *
   * @param endpoint name of the endpoint
   * @param atStart series of the request's keys when it was sent
   * @return the keys whose series has changed
   */
  Set<String> recordCrash(String endpoint, Map<String, CrashSeries> atStart) {
    boolean repeated =
        atStart.values().stream().anyMatch(series -> series.crashes().contains(endpoint));
    int longest = atStart.values().stream().mapToInt(CrashSeries::length).max().orElse(0);
    String crash = repeated ? endpoint + "#" + longest : endpoint;
    Set<String> changed = new HashSet<>();
    atStart.forEach(
        (key, before) -> {
          if (store(key, series(key).afterCrash(crash, before))) {
            changed.add(key);
          }
        });
    return changed;
  }

  /** Records that a request was answered; returns the keys whose series ended by that. */
  Set<String> recordAnswer(List<String> keys) {
    Set<String> changed = new HashSet<>();
    for (String key : keys) {
      CrashSeries before = series(key);
      if (!before.answered() && store(key, before.afterAnswer())) {
        changed.add(key);
      }
    }
    return changed;
  }

  @Override
  public boolean refresh(Map<String, CrashSeries> received) {
    boolean any = false;
    for (Map.Entry<String, CrashSeries> other : received.entrySet()) {
      Entry own = entries.get(other.getKey());
      if (own != null
          && !own.series().equals(other.getValue())
          && own.series().merge(other.getValue()).equals(own.series())) {
        entries.put(
            other.getKey(),
            new Entry(own.series(), own.longest(), clock.nanos(), own.decidedAtNanos()));
        any = true;
      }
    }
    return any;
  }

  @Override
  public Set<String> merge(Map<String, CrashSeries> received) {
    Set<String> changed = new HashSet<>();
    received.forEach(
        (key, series) -> {
          if (store(key, series(key).merge(series))) {
            changed.add(key);
          }
        });
    return changed;
  }

  /** Returns what is known against a request with the keys. */
  Suspicion suspicion(List<String> keys) {
    Suspicion strongest = Suspicion.NONE;
    long now = clock.nanos();
    for (String key : keys) {
      Entry entry = entries.get(key);
      if (entry == null
          || entry.series().length() < QUARANTINE_LENGTH
          || !hasAllCommonKeys(key, keys)) {
        continue;
      }
      if (now - entry.decidedAtNanos() >= 0) {
        return new Suspicion(Suspicion.Verdict.QUARANTINED, key, 0);
      }
      strongest = new Suspicion(Suspicion.Verdict.AWAITING_REPORTS, key, entry.decidedAtNanos());
    }
    return strongest;
  }

  /**
   * Returns the monotonic time from which all of some keys are quarantined unless a report clears
   * them, in nanoseconds.
   *
   * @param keys keys whose series are long enough for a quarantine, at least one
   */
  long decisionNanos(Set<String> keys) {
    return keys.stream()
        .map(key -> entries.get(key).decidedAtNanos())
        .max((first, second) -> Long.signum(first - second))
        .orElseThrow();
  }

  /** Returns those of a request's keys that are quarantined or await reports. */
  List<String> blamedKeys(List<String> keys) {
    return keys.stream()
        .filter(key -> series(key).length() >= QUARANTINE_LENGTH && hasAllCommonKeys(key, keys))
        .toList();
  }

  /** Returns whether a request has all keys that were present at all crashes of a key's series. */
  private boolean hasAllCommonKeys(String key, List<String> keys) {
    CrashSeries series = series(key);
    return entries.entrySet().stream()
        .filter(other -> other.getValue().series().containsAll(series))
        .allMatch(other -> keys.contains(other.getKey()));
  }

  /**
   * Returns the series that have changed within a time. The longest ones come first, also if they
   * have been answered, and then the newest.
   */
  @Override
  public Map<String, CrashSeries> recent(long millis, int limit) {
    long now = clock.nanos();
    Map<String, CrashSeries> recent = new HashMap<>();
    entries.entrySet().stream()
        .filter(entry -> now - entry.getValue().changedNanos() < millis * 1_000_000L)
        .sorted(
            Comparator.comparingInt((Map.Entry<String, Entry> entry) -> -entry.getValue().longest())
                .thenComparingLong(entry -> now - entry.getValue().changedNanos()))
        .limit(limit)
        .forEach(entry -> recent.put(entry.getKey(), entry.getValue().series()));
    return recent;
  }

  private boolean store(String key, CrashSeries next) {
    Entry before = entries.get(key);
    CrashSeries known = before == null ? CrashSeries.NONE : before.series();
    if (next.equals(known)) {
      return false;
    }
    long now = clock.nanos();
    boolean wasLong = known.length() >= QUARANTINE_LENGTH && known.number() == next.number();
    long decidedAt = wasLong ? before.decidedAtNanos() : now + REPORT_WAIT_MILLIS * 1_000_000L;
    int longest = next.answered() ? known.length() : next.length();
    entries.put(key, new Entry(next, longest, now, decidedAt));
    if (entries.size() > MAXIMUM_SERIES) {
      removeOld(now);
    }
    return true;
  }

  private void removeOld(long now) {
    entries.values().removeIf(entry -> now - entry.changedNanos() >= RETENTION_MILLIS * 1_000_000L);
    while (entries.size() > MAXIMUM_SERIES) {
      String oldest =
          entries.entrySet().stream()
              .min(
                  Comparator.comparingInt(
                          (Map.Entry<String, Entry> entry) -> entry.getValue().series().length())
                      .thenComparingLong(entry -> entry.getValue().changedNanos() - now))
              .orElseThrow()
              .getKey();
      entries.remove(oldest);
    }
  }
}
