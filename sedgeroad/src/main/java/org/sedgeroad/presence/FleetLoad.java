package org.sedgeroad.presence;

import java.util.List;

/**
 * Load and liveness of the other instances as known to this instance. Used on the event loop.
 *
 * <p>Times are readings of the monotonic clock in nanoseconds. Counts that are too old are left
 * out.
 */
public interface FleetLoad {
  /** Returns the sums of the loads of the other instances, never null. */
  LoadTotals others(long nowNanos);

  /**
   * Returns whether the loads are known as they were after a time, with the work that this instance
   * had then known to the others.
   *
   * @param sinceNanos the time
   * @param expected number of other instances that are registered
   * @param nowNanos current time
   */
  boolean hasExchangedSince(long sinceNanos, int expected, long nowNanos);

  /**
   * Returns whether an instance has reported within {@link LoadReportTable#FAILURE_TIMEOUT_MILLIS}
   * and did not announce that it is leaving.
   */
  boolean isLive(String instance, long nowNanos);

  /** Returns whether the work of an instance is part of the sums of the loads. */
  boolean isCounted(String instance, long nowNanos);

  /** Returns whether an instance has announced that it is leaving. */
  boolean isLeaving(String instance);

  /**
   * Returns whether an instance is considered failed, so that its jobs are taken over. An instance
   * that is not live is, unless its whole failure domain has become silent recently: the domain is
   * then rather cut off.
   */
  boolean isFailed(String instance, long nowNanos);

  /** Returns the names of the other instances that are live. */
  List<String> liveInstances(long nowNanos);

  /**
   * Returns whether this instance itself may be cut off from the network: several others that did
   * not announce that they are leaving became silent together, some seconds ago at most, and no
   * other is live.
   */
  boolean isIsolated(long nowNanos);

  /**
   * Returns a number that grows when this instance has heard no other one, or no one of a failure
   * domain, for so long that they may have considered it failed and taken its jobs over, and when
   * it hears one again.
   */
  int contactEpoch(long nowNanos);

  /**
   * Returns whether contact is lost in the sense of {@link #contactEpoch}, so that other instances
   * may take this one's jobs over at any time.
   */
  boolean hasLostContact(long nowNanos);
}
