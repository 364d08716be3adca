package org.sedgeroad.presence;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects the reports of the instances of a failure domain and the summaries of the other domains,
 * and sums them up. Each instance has one, which stays empty unless others select the instance as a
 * hub. Used on the event loop.
 */
final class DomainHub {
  /**
   * Age up to which a summary with more reporters is preferred to a newer one, in milliseconds. An
   * instance that only some others select as their hub knows only a part of the loads.
   */
  static final long PREFERRED_MILLIS = 300;

  /**
   * A received summary.
   *
   * @param summary the summary
   * @param receivedNanos monotonic time of its arrival, in nanoseconds
   * @param order position in the messages of the hub
   */
  record Received(LoadSummary summary, long receivedNanos, MessageOrder order) {}

  private final String instance;
  private final String domain;
  private final long incarnation;
  private final LoadReportTable reports = new LoadReportTable();
  private final Map<String, Map<String, Received>> summariesByDomain = new HashMap<>();
  private long sequence;
  private long retentionNanos;

  DomainHub(String instance, String domain, long incarnation) {
    this.instance = instance;
    this.domain = domain;
    this.incarnation = incarnation;
  }

  /** Sets the time for which sent requests stay in the sums, see {@link LoadReportTable}. */
  void setRetention(long millis) {
    reports.setRetention(millis);
    retentionNanos = millis * 1_000_000L;
  }

  /** Stores a report of an instance of this domain; returns whether it was newer. */
  boolean receive(LoadReport report, long nowNanos) {
    return reports.receive(report, nowNanos);
  }

  /** Stores a summary of another domain; returns whether it was newer. */
  boolean receive(LoadSummary summary, long nowNanos) {
    return store(
        summariesByDomain.computeIfAbsent(summary.domain(), key -> new HashMap<>()),
        summary,
        nowNanos);
  }

  /** Returns whether instances of this domain other than this one report to this one. */
  boolean hasReporters(long nowNanos) {
    return reports.current(nowNanos).stream()
        .anyMatch(report -> !report.instance().equals(instance));
  }

  /** Returns a summary of this domain, which has the next sequence number. */
  LoadSummary domainSummary(long nowNanos) {
    return summary(LoadSummary.Scope.DOMAIN, reports.others(nowNanos), reports.reporters(nowNanos));
  }

  /**
   * Returns a summary of all instances, which has the next sequence number.
   *
   * @param complete whether the states of all instances are included; otherwise, those of the other
   *     domains are included only if they are leaving
   * @param nowNanos monotonic time, in nanoseconds
   */
  LoadSummary fleetSummary(boolean complete, long nowNanos) {
    List<LoadTotals> parts = new ArrayList<>();
    parts.add(reports.others(nowNanos));
    Map<String, ReporterState> states = reports.reporters(nowNanos);
    for (Map<String, Received> summaries : summariesByDomain.values()) {
      Received best = best(summaries, nowNanos);
      if (best == null) {
        parts.add(LoadTotals.NONE.withDetails(retained(summaries, nowNanos)));
      } else {
        parts.add(best.summary().totals());
        int ageMillis = (int) ((nowNanos - best.receivedNanos()) / 1_000_000L);
        best.summary()
            .reporters()
            .forEach(
                (name, state) -> {
                  if (complete || state.leaving()) {
                    states.put(
                        name,
                        new ReporterState(
                            state.incarnation(),
                            state.sequence(),
                            state.ageMillis() + ageMillis,
                            state.leaving()));
                  }
                });
      }
    }
    return summary(LoadSummary.Scope.FLEET, LoadTotals.sum(parts), states);
  }

  /** Returns the requests that the instances of a domain that became silent have sent. */
  private FleetDetails retained(Map<String, Received> summaries, long nowNanos) {
    return summaries.values().stream()
        .max(Comparator.comparingLong(received -> received.receivedNanos() - nowNanos))
        .filter(newest -> nowNanos - newest.receivedNanos() < retentionNanos)
        .map(newest -> newest.summary().totals().details().retained())
        .orElse(FleetDetails.NONE);
  }

  private LoadSummary summary(
      LoadSummary.Scope scope, LoadTotals totals, Map<String, ReporterState> states) {
    return new LoadSummary(scope, instance, domain, incarnation, ++sequence, totals, states);
  }

  /** Stores a summary by its hub unless it is repeated or late; returns whether it was stored. */
  static boolean store(Map<String, Received> byHub, LoadSummary summary, long nowNanos) {
    Received before = byHub.get(summary.hub());
    if (before != null && !before.order().isNewer(summary.incarnation(), summary.sequence())) {
      return false;
    }
    MessageOrder order =
        before == null
            ? MessageOrder.first(summary.incarnation(), summary.sequence())
            : before.order().after(summary.incarnation(), summary.sequence());
    byHub.put(summary.hub(), new Received(summary, nowNanos, order));
    return true;
  }

  /**
   * Returns the summary to use among those of several hubs, null if none is valid: the one of most
   * reporters among the recent ones, and the newest of those; without a recent one, the newest.
   */
  static Received best(Map<String, Received> byHub, long nowNanos) {
    Received best = null;
    for (Received next : byHub.values()) {
      long ageMillis = (nowNanos - next.receivedNanos()) / 1_000_000L;
      if (ageMillis < LoadReportTable.COUNTS_VALID_MILLIS
          && (best == null || isBetter(next, best, nowNanos))) {
        best = next;
      }
    }
    return best;
  }

  private static boolean isBetter(Received next, Received best, long nowNanos) {
    boolean nextRecent = nowNanos - next.receivedNanos() < PREFERRED_MILLIS * 1_000_000L;
    boolean bestRecent = nowNanos - best.receivedNanos() < PREFERRED_MILLIS * 1_000_000L;
    if (nextRecent != bestRecent) {
      return nextRecent;
    }
    int more = next.summary().totals().reporters() - best.summary().totals().reporters();
    return nextRecent && more != 0 ? more > 0 : next.receivedNanos() - best.receivedNanos() > 0;
  }
}
