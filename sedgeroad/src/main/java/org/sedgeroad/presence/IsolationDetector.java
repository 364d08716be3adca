package org.sedgeroad.presence;

import java.util.Collection;

/**
 * Decides whether the silence of all other instances is rather a fault of this instance's own
 * network. Several instances that become silent at the same time are more likely cut off than
 * failed, but not for ever: their jobs must continue elsewhere. Used on the event loop.
 */
final class IsolationDetector {
  /**
   * Time for which the silence of all others is considered a cut, in milliseconds, after they have
   * been considered not live. They are then considered failed at the same time as the instances of
   * a failure domain that is silent as a whole.
   */
  static final long ISOLATION_MILLIS =
      FleetLoadView.DOMAIN_FAILURE_TIMEOUT_MILLIS - LoadReportTable.FAILURE_TIMEOUT_MILLIS;

  /**
   * Longest time between two observations that counts in full, in milliseconds. A process that was
   * frozen has not received the messages of that time yet.
   */
  private static final long MAXIMUM_STEP_MILLIS = 500;

  private boolean silent;
  private long observedNanos;
  private long silenceNanos;

  /**
   * Records whether any other instance is live at a monotonic time in nanoseconds. To be called
   * several times a second.
   */
  void observe(boolean anyLive, long nowNanos) {
    if (anyLive || !silent) {
      silenceNanos = 0;
    } else {
      silenceNanos += Math.min(nowNanos - observedNanos, MAXIMUM_STEP_MILLIS * 1_000_000L);
    }
    silent = !anyLive;
    observedNanos = nowNanos;
  }

  /** Returns whether the silence has lasted so long that the others are considered failed. */
  boolean isOver() {
    return silenceNanos >= ISOLATION_MILLIS * 1_000_000L;
  }

  /**
   * Returns whether more than one instance became silent last, at about the same time. An instance
   * that left or failed earlier is not expected to answer.
   *
   * @param heardNanos monotonic times at which the instances that did not announce that they are
   *     leaving were heard last, in nanoseconds
   */
  static boolean becameSilentTogether(Collection<Long> heardNanos) {
    if (heardNanos.isEmpty()) {
      return false;
    }
    long newest = heardNanos.stream().reduce((a, b) -> a - b > 0 ? a : b).orElseThrow();
    long together =
        heardNanos.stream()
            .filter(heard -> newest - heard < LoadReportTable.FAILURE_TIMEOUT_MILLIS * 1_000_000L)
            .count();
    return together > 1;
  }
}
