package org.sedgeroad.presence;

/**
 * Detects that an instance, or a failure domain, was not heard for so long that it may consider
 * this instance failed: one of them was cut off, frozen or short of processor time. Used on the
 * event loop.
 */
final class ContactRecord {
  /**
   * Time without a message of any instance after which contact counts as lost, in milliseconds;
   * half the time after which an instance is considered failed.
   */
  static final long LOSS_MILLIS = LoadReportTable.FAILURE_TIMEOUT_MILLIS / 2;

  /**
   * Time without a report of any instance of a failure domain after which contact with it counts as
   * lost, in milliseconds; half the time after which a silent domain is considered failed.
   */
  static final long DOMAIN_LOSS_MILLIS = FleetLoadView.DOMAIN_FAILURE_TIMEOUT_MILLIS / 2;

  private final long lossMillis;
  private boolean heard;
  private long lastHeardNanos;
  private int epoch;

  /** Creates a record without contact, which is lost after a number of milliseconds. */
  ContactRecord(long lossMillis) {
    this.lossMillis = lossMillis;
  }

  /**
   * Records that there was contact at a monotonic time in nanoseconds; earlier ones are ignored.
   */
  void heard(long heardNanos) {
    if (!heard || heardNanos - lastHeardNanos > 0) {
      epoch += isLost(heardNanos) ? 2 : 0;
      heard = true;
      lastHeardNanos = heardNanos;
    }
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
    return isSilent(lossMillis, nowNanos);
  }

  /** Returns whether there was no contact for a time before a monotonic time in nanoseconds. */
  boolean isSilent(long millis, long nowNanos) {
    return heard && nowNanos - lastHeardNanos >= millis * 1_000_000L;
  }
}
