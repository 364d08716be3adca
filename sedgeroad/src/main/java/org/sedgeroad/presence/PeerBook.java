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

  private record Received(LoadReport report, long atNanos) {}

  private final Map<String, Received> reports = new HashMap<>();

  /** Notes a report that arrived at a monotonic time; returns whether it was news. */
  public boolean receive(LoadReport report, long nowNanos) {
    Received before = reports.get(report.instance());
    if (before != null && !report.isNewerThan(before.report())) {
      return false;
    }
    reports.put(report.instance(), new Received(report, nowNanos));
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
