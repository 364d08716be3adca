package org.sedgeroad.presence;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The newest report of each other instance with its time of arrival. Used on the event loop. */
public final class PeerBook {
  /**
   * Age at which the counts of a report no longer hold, in milliseconds; twelve periods of 50 ms,
   * so that some lost datagrams in a row do not hide an instance's work.
   */
  public static final long COUNTS_MILLIS = 600;

  /**
   * Silence after which an instance's jobs are taken over, in milliseconds; longer than a restart
   * of a process takes, shorter than a sixth of the time in which results are due.
   */
  public static final long DEAD_MILLIS = 2_500;

  /**
   * A report.
   *
   * @param report the report
   * @param atNanos monotonic time of arrival, in nanoseconds
   * @param replaced incarnation of the process before, the same one if none is known
   */
  private record Received(LoadReport report, long atNanos, long replaced) {}

  private final Map<String, Received> reports = new HashMap<>();

  /** Notes a report that arrived at a monotonic time; returns whether it was news. */
  public boolean receive(LoadReport report, long nowNanos) {
    Received before = reports.get(report.instance());
    long replaced = report.incarnation();
    if (before != null && report.incarnation() == before.report().incarnation()) {
      if (report.sequence() <= before.report().sequence()) {
        return false;
      }
      replaced = before.replaced();
    } else if (before != null) {
      // A clock that was set back gives a new process a lower number than the one before.
      if (report.incarnation() == before.replaced()) {
        return false;
      }
      replaced = before.report().incarnation();
    }
    reports.put(report.instance(), new Received(report, nowNanos, replaced));
    return true;
  }

  /** Returns the reports whose counts still hold. */
  public List<LoadReport> current(long nowNanos) {
    List<LoadReport> current = new ArrayList<>();
    for (Received received : reports.values()) {
      if (nowNanos - received.atNanos() < COUNTS_MILLIS * 1_000_000L) {
        current.add(received.report());
      }
    }
    return current;
  }

  /** Returns the number of reports whose counts still hold and that arrived after a time. */
  public int heardSince(long sinceNanos, long nowNanos) {
    int heard = 0;
    for (Received received : reports.values()) {
      boolean holds = nowNanos - received.atNanos() < COUNTS_MILLIS * 1_000_000L;
      heard += holds && received.atNanos() - sinceNanos > 0 ? 1 : 0;
    }
    return heard;
  }

  /** Returns whether an instance was heard of lately and is not stopping. */
  public boolean isAlive(String instance, long nowNanos) {
    Received received = reports.get(instance);
    return received != null
        && !received.report().leaving()
        && nowNanos - received.atNanos() < DEAD_MILLIS * 1_000_000L;
  }

  /**
   * Returns whether this instance may itself be the one that is cut off: it knows several others
   * and hears none of them.
   */
  public boolean isIsolated(long nowNanos) {
    return reports.size() > 1 && alive(nowNanos).isEmpty();
  }

  /** Returns the names of the instances that were heard of lately. */
  public List<String> alive(long nowNanos) {
    return reports.keySet().stream().filter(name -> isAlive(name, nowNanos)).toList();
  }

  /** Returns the newest configuration version that any live instance reports. */
  public long newestConfiguration(long nowNanos) {
    return current(nowNanos).stream().mapToLong(LoadReport::configurationVersion).max().orElse(0);
  }
}
