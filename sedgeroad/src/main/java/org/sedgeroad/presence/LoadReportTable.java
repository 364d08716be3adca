package org.sedgeroad.presence;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Table of the newest report of each of several instances with its time of arrival. Used on the
 * event loop.
 *
 * <p>If each instance sends its reports to all others, the table is all that an instance knows of
 * the fleet; the cost of such an exchange grows with the square of the number of instances. A hub
 * keeps a table of the instances of its failure domain.
 */
public final class LoadReportTable implements FleetLoad {
  /**
   * Age from which the counts of a report are no longer used, in milliseconds. An instance reports
   * changing work every 50 ms, so that several lost datagrams in a row do not hide it, and
   * unchanged work every 200 ms, so that one lost datagram does not hide it.
   */
  public static final long COUNTS_VALID_MILLIS = 600;

  /**
   * Time without a report after which an instance is considered failed and its jobs are taken over,
   * in milliseconds; longer than a restart of a process takes, shorter than a sixth of the time
   * within which results are due.
   */
  public static final long FAILURE_TIMEOUT_MILLIS = 2_500;

  /** Requests that a process sent which was replaced by another one of the same instance. */
  private record Former(FleetDetails sent, long receivedNanos) {}

  private record Received(LoadReport report, long receivedNanos, MessageOrder order) {}

  private final Map<String, Received> reports = new HashMap<>();
  private final List<Former> formerProcesses = new ArrayList<>();
  private long retentionNanos;

  /**
   * Sets the time for which the requests of workspaces that an instance has sent stay in the sums
   * after its last report, in milliseconds; 0 until then.
   */
  void setRetention(long millis) {
    retentionNanos = millis * 1_000_000L;
  }

  /**
   * Stores a report unless it is older than the stored one or repeats it.
   *
   * @param report the report, not null
   * @param nowNanos monotonic time of arrival, in nanoseconds
   * @return whether the report was stored
   */
  public boolean receive(LoadReport report, long nowNanos) {
    Received before = reports.get(report.instance());
    if (before != null && !before.order().isNewer(report.incarnation(), report.sequence())) {
      return false;
    }
    if (before != null && before.report().incarnation() != report.incarnation()) {
      formerProcesses.removeIf(former -> nowNanos - former.receivedNanos() >= retentionNanos);
      formerProcesses.add(new Former(before.report().details().retained(), before.receivedNanos()));
    }
    MessageOrder order =
        before == null
            ? MessageOrder.first(report.incarnation(), report.sequence())
            : before.order().after(report.incarnation(), report.sequence());
    reports.put(report.instance(), new Received(report, nowNanos, order));
    return true;
  }

  /** Returns the reports whose counts are valid at a monotonic time in nanoseconds. */
  public List<LoadReport> current(long nowNanos) {
    List<LoadReport> current = new ArrayList<>();
    for (Received received : reports.values()) {
      if (nowNanos - received.receivedNanos() < COUNTS_VALID_MILLIS * 1_000_000L) {
        current.add(received.report());
      }
    }
    return current;
  }

  /**
   * Returns the states of the instances whose counts are valid at a monotonic time in nanoseconds.
   */
  Map<String, ReporterState> reporters(long nowNanos) {
    Map<String, ReporterState> states = new HashMap<>();
    for (Received received : reports.values()) {
      long ageMillis = (nowNanos - received.receivedNanos()) / 1_000_000L;
      if (ageMillis < COUNTS_VALID_MILLIS) {
        LoadReport report = received.report();
        states.put(
            report.instance(),
            new ReporterState(
                report.incarnation(), report.sequence(), (int) ageMillis, report.leaving()));
      }
    }
    return states;
  }

  @Override
  public LoadTotals others(long nowNanos) {
    return LoadTotals.ofReports(current(nowNanos)).plusDetails(retained(nowNanos));
  }

  /** Returns the requests that were sent by instances and processes that no longer report. */
  private FleetDetails retained(long nowNanos) {
    FleetDetails sum = FleetDetails.NONE;
    for (Former former : formerProcesses) {
      if (nowNanos - former.receivedNanos() < retentionNanos) {
        sum = sum.plus(former.sent());
      }
    }
    for (Received received : reports.values()) {
      long age = nowNanos - received.receivedNanos();
      if (age >= COUNTS_VALID_MILLIS * 1_000_000L && age < retentionNanos) {
        sum = sum.plus(received.report().details().retained());
      }
    }
    return sum;
  }

  /** Returns whether all other instances have reported since a time; see {@link FleetLoad}. */
  @Override
  public boolean hasExchangedSince(long sinceNanos, int expected, long nowNanos) {
    int count = 0;
    for (Received received : reports.values()) {
      boolean valid = nowNanos - received.receivedNanos() < COUNTS_VALID_MILLIS * 1_000_000L;
      count += valid && received.receivedNanos() - sinceNanos > 0 ? 1 : 0;
    }
    return count >= expected;
  }

  @Override
  public boolean isLive(String instance, long nowNanos) {
    Received received = reports.get(instance);
    return received != null
        && !received.report().leaving()
        && nowNanos - received.receivedNanos() < FAILURE_TIMEOUT_MILLIS * 1_000_000L;
  }

  @Override
  public boolean isCounted(String instance, long nowNanos) {
    Received received = reports.get(instance);
    return received != null
        && nowNanos - received.receivedNanos() < COUNTS_VALID_MILLIS * 1_000_000L;
  }

  @Override
  public boolean isLeaving(String instance) {
    Received received = reports.get(instance);
    return received != null && received.report().leaving();
  }

  /** Returns whether an instance is not live; this table does not know failure domains. */
  @Override
  public boolean isFailed(String instance, long nowNanos) {
    return !isLive(instance, nowNanos);
  }

  @Override
  public boolean isIsolated(long nowNanos) {
    List<Long> expected =
        reports.values().stream()
            .filter(received -> !received.report().leaving())
            .map(Received::receivedNanos)
            .toList();
    boolean recent =
        expected.stream()
            .anyMatch(
                received ->
                    nowNanos - received < FleetLoadView.DOMAIN_FAILURE_TIMEOUT_MILLIS * 1_000_000L);
    return recent
        && IsolationDetector.becameSilentTogether(expected)
        && liveInstances(nowNanos).isEmpty();
  }

  /** Returns 0; this table does not detect a loss of contact. */
  @Override
  public int contactEpoch(long nowNanos) {
    return 0;
  }

  /** Returns false; this table does not detect a loss of contact. */
  @Override
  public boolean hasLostContact(long nowNanos) {
    return false;
  }

  @Override
  public List<String> liveInstances(long nowNanos) {
    return reports.keySet().stream().filter(name -> isLive(name, nowNanos)).toList();
  }
}
