package org.sedgeroad.presence;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Table of the newest report of each other instance with its time of arrival. Used on the event
 * loop.
 */
public final class LoadReportTable {
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

  /**
   * A received report.
   *
   * @param report the report
   * @param receivedNanos monotonic time of arrival, in nanoseconds
   * @param previousIncarnation incarnation of the previous process, or of the process that sent
   *     this report if no previous process is known
   */
  private record Received(LoadReport report, long receivedNanos, long previousIncarnation) {}

  private final Map<String, Received> reports = new HashMap<>();

  /**
   * Stores a report unless it is older than the stored one or repeats it.
   *
   * @param report the report, not null
   * @param nowNanos monotonic time of arrival, in nanoseconds
   * @return whether the report was stored
   */
  public boolean receive(LoadReport report, long nowNanos) {
    Received before = reports.get(report.instance());
    long previousIncarnation = report.incarnation();
    if (before != null && report.incarnation() == before.report().incarnation()) {
      if (report.sequence() <= before.report().sequence()) {
        return false;
      }
      previousIncarnation = before.previousIncarnation();
    } else if (before != null) {
      // Incarnations are random, so a new process may have a lower one than the previous process.
      // They are compared for equality only.
      if (report.incarnation() == before.previousIncarnation()) {
        return false;
      }
      previousIncarnation = before.report().incarnation();
    }
    reports.put(report.instance(), new Received(report, nowNanos, previousIncarnation));
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
   * Returns the number of reports whose counts are valid and that arrived after a time.
   *
   * @param sinceNanos monotonic time after which a report counts, in nanoseconds
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public int countReceivedSince(long sinceNanos, long nowNanos) {
    int count = 0;
    for (Received received : reports.values()) {
      boolean valid = nowNanos - received.receivedNanos() < COUNTS_VALID_MILLIS * 1_000_000L;
      count += valid && received.receivedNanos() - sinceNanos > 0 ? 1 : 0;
    }
    return count;
  }

  /**
   * Returns whether an instance has reported within {@link #FAILURE_TIMEOUT_MILLIS} before a
   * monotonic time in nanoseconds and did not announce that it is leaving.
   */
  public boolean isLive(String instance, long nowNanos) {
    Received received = reports.get(instance);
    return received != null
        && !received.report().leaving()
        && nowNanos - received.receivedNanos() < FAILURE_TIMEOUT_MILLIS * 1_000_000L;
  }

  /**
   * Returns whether this instance itself may be cut off from the network: it has received reports
   * of several others, and none of them is live at a monotonic time in nanoseconds.
   */
  public boolean isIsolated(long nowNanos) {
    return reports.size() > 1 && liveInstances(nowNanos).isEmpty();
  }

  /** Returns the names of the instances that are live at a monotonic time in nanoseconds. */
  public List<String> liveInstances(long nowNanos) {
    return reports.keySet().stream().filter(name -> isLive(name, nowNanos)).toList();
  }

  /**
   * Returns the newest configuration version in the reports whose counts are valid at a monotonic
   * time in nanoseconds, 0 if there are none.
   */
  public long newestConfigurationVersion(long nowNanos) {
    return current(nowNanos).stream().mapToLong(LoadReport::configurationVersion).max().orElse(0);
  }
}
