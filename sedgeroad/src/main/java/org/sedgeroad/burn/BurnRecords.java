package org.sedgeroad.burn;

import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.job.CommitListener;
import org.sedgeroad.job.ItemResult;
import org.sedgeroad.job.ItemState;
import org.sedgeroad.job.Job;
import org.sedgeroad.metric.CompletedRequest;
import org.sedgeroad.metric.RequestObserver;
import org.sedgeroad.metric.RequestOutcome;

/**
 * Counts the live requests and batch items of each member in total, and the bad ones, which spend
 * its error budget, by cause.
 *
 * <p>The counts are kept in memory and start at 0 with the process. Thread-safe.
 */
public final class BurnRecords implements RequestObserver, CommitListener {
  /** Limits the memory to 6 MB; docs/design.md expects 2,000 members. */
  private static final int MAX_RECORDS = 4_096;

  private static final String OTHER_MEMBERS = "(other members)";

  private final Map<Key, WindowCounters> records = new ConcurrentHashMap<>();
  private final String instance;
  private final MonotonicClock monotonic;
  private final Clock clock;

  /**
   * Creates empty records for an instance.
   *
   * @param instance name of the instance
   * @param monotonic clock that determines the time buckets of the windows
   * @param clock clock for the deadlines of jobs and the time of reports
   */
  public BurnRecords(String instance, MonotonicClock monotonic, Clock clock) {
    this.instance = instance;
    this.monotonic = monotonic;
    this.clock = clock;
  }

  private record Key(String member, ServiceClass serviceClass) {}

  /** Counts of one member and service class over each window. Thread-safe. */
  private static final class WindowCounters {
    private final Map<BurnWindow, WindowCounter> counters = new EnumMap<>(BurnWindow.class);

    WindowCounters(long nowNanos) {
      for (BurnWindow window : BurnWindow.values()) {
        counters.put(window, new WindowCounter(window, nowNanos));
      }
    }

    synchronized void add(Cause cause, long nowNanos) {
      counters.values().forEach(counter -> counter.add(cause, nowNanos));
    }

    synchronized long[] sum(BurnWindow window, long nowNanos) {
      return counters.get(window).sum(nowNanos);
    }
  }

  @Override
  public void requestEnded(CompletedRequest request) {
    // If the caller disconnected, nothing is known about the quality of the answer. An unknown
    // caller has no error budget.
    if (request.outcome() != RequestOutcome.CALLER_GONE && !request.member().isEmpty()) {
      add(request.member(), ServiceClass.LIVE, cause(request));
    }
  }

  @Override
  public void committed(Job job, List<ItemResult> results) {
    boolean late = clock.instant().isAfter(job.deadline());
    for (ItemResult result : results) {
      if (result.state() == ItemState.DONE) {
        add(job.member(), ServiceClass.BATCH, late ? Cause.QUEUE : null);
      } else if (result.state() != ItemState.CANCELLED) {
        add(job.member(), ServiceClass.BATCH, Cause.ENDPOINT);
      }
    }
  }

  /** Returns the report of this instance. */
  public BurnReport report() {
    long now = monotonic.nanos();
    List<BurnLine> lines = new ArrayList<>();
    records.forEach(
        (key, record) -> {
          long periodTotal = record.sum(BurnWindow.THREE_DAYS, now)[0];
          for (BurnWindow window : BurnWindow.values()) {
            lines.add(
                BurnLine.of(
                    key.member(),
                    key.serviceClass(),
                    window,
                    record.sum(window, now),
                    periodTotal));
          }
        });
    return BurnReport.of(List.of(instance), Instant.now(clock), lines);
  }

  private static Cause cause(CompletedRequest request) {
    return switch (request.outcome()) {
      case DONE ->
          request.firstEventNanos() > Objective.MAX_FIRST_EVENT_NANOS ? Cause.ENDPOINT : null;
      case ENDPOINT_ERROR, FAILED -> Cause.ENDPOINT;
      case LIMIT -> Cause.LIMIT;
      case QUEUE -> Cause.QUEUE;
      default -> Cause.REFUSAL;
    };
  }

  private void add(String member, ServiceClass serviceClass, Cause cause) {
    long now = monotonic.nanos();
    Key key = new Key(member, serviceClass);
    if (!records.containsKey(key) && records.size() >= MAX_RECORDS) {
      key = new Key(OTHER_MEMBERS, serviceClass);
    }
    records.computeIfAbsent(key, absent -> new WindowCounters(now)).add(cause, now);
  }
}
