package org.sedgeroad.batch;

/**
 * Decides when the finished results of a job are stored. Each store call has a cost, and the items
 * of a job finish within some seconds of each other in the troughs of the load, so that results are
 * grouped unless clients need them now.
 */
final class ResultStoreRule {
  /**
   * Longest time that a finished result waits for others before its job is nearly due, in
   * milliseconds. An owner that fails loses what it has not stored, so the wait is shorter than the
   * run of an item (4 to 5 s), which is what the loss costs.
   */
  static final long MAXIMUM_DELAY_MILLIS = 3_000;

  /**
   * Time before results no longer count as on time from which they are stored immediately, in
   * milliseconds: time for a repeated store call and for clients to read, which they do twice a
   * second.
   */
  static final long URGENT_MILLIS = 2_500;

  /**
   * Longest time that a result of a late job waits for others, in milliseconds. With the 250 ms
   * between two checks, clients can read it 0.5 s after it is finished.
   */
  static final long LATE_DELAY_MILLIS = 250;

  private ResultStoreRule() {}

  /**
   * Returns whether the results of a job that are not stored are to be stored now.
   *
   * @param isLast whether all other results of the job are stored or finished too
   * @param untilDueMillis time until the results no longer count as on time, negative after that,
   *     in milliseconds
   * @param waitedMillis time since the oldest of the results was finished, in milliseconds
   */
  static boolean isDue(boolean isLast, long untilDueMillis, long waitedMillis) {
    if (isLast) {
      return true;
    }
    if (untilDueMillis <= 0) {
      return waitedMillis >= LATE_DELAY_MILLIS;
    }
    return untilDueMillis < URGENT_MILLIS || waitedMillis >= MAXIMUM_DELAY_MILLIS;
  }
}
