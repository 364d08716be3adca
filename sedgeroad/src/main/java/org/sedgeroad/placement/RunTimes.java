package org.sedgeroad.placement;

/**
 * Times of live requests of one service at an endpoint of median speed, as observed.
 *
 * @param firstEventMillis time from the send of a request that finds a free slot to its first
 *     event, in milliseconds
 * @param slotMillis time for which a request uses a slot, in milliseconds
 */
record RunTimes(double firstEventMillis, double slotMillis) {
  /** Times before any request was observed: those of a stream of a usual length. */
  static final RunTimes UNKNOWN = new RunTimes(15, 700);
}
