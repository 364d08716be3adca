package org.sedgeroad.presence;

/**
 * Detects that an instance has heard no other one for so long that they may have considered it
 * failed: it was cut off, frozen or short of processor time. Used on the event loop.
 */
final class ContactRecord {
  /** Time without a message after which contact counts as lost, in milliseconds. */
  static final long LOSS_MILLIS = LoadReportTable.FAILURE_TIMEOUT_MILLIS / 2;

  private boolean heard;
  private long lastHeardNanos;
  private int epoch;

  /** Records that another instance was heard at a monotonic time in nanoseconds. */
  void heard(long nowNanos) {
    epoch += isLost(nowNanos) ? 2 : 0;
    heard = true;
    lastHeardNanos = nowNanos;
  }

  /**
   * Returns a number that grows when contact is lost and when it is regained, as of a monotonic
   * time in nanoseconds.
   */
  int epoch(long nowNanos) {
    return isLost(nowNanos) ? epoch + 1 : epoch;
  }

  /** Returns whether contact is lost at a monotonic time in nanoseconds. */
  boolean isLost(long nowNanos) {
    return heard && nowNanos - lastHeardNanos >= LOSS_MILLIS * 1_000_000L;
  }
}
