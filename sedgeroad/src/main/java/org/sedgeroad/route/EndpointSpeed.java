package org.sedgeroad.route;

/**
 * Observed speed of one endpoint. Not thread-safe: guarded by the lock of its {@link
 * EndpointTable}, or confined to the event loop.
 */
public final class EndpointSpeed {
  /**
   * Added to the number of prompt tokens before the time to the first event is divided by that
   * number, because part of the time does not depend on the prompt.
   */
  private static final int PROMPT_OFFSET = 64;

  private static final int MIN_FIRST_EVENTS = 2;
  private static final int MIN_GAPS = 8;

  /**
   * A slow endpoint that has received no work for this time gets one request as a probe, to find
   * out whether it is still slow.
   */
  private static final long PROBE_INTERVAL_NANOS = 3_000_000_000L;

  private final SpeedWindow firstEventTimes = new SpeedWindow();
  private final SpeedWindow gapTimes = new SpeedWindow();
  private double slowness = 1.0;
  private long lastPlacedNanos;

  void recordPlacement(long now) {
    lastPlacedNanos = now;
  }

  /**
   * Records the time to the first event of an answer.
   *
   * @param promptTokens number of prompt tokens that were processed before, 0 if it is not known
   * @param nanos time from the send to the first event, in nanoseconds
   * @param now current monotonic time, in nanoseconds
   */
  public void recordFirstEvent(int promptTokens, long nanos, long now) {
    firstEventTimes.add((double) nanos / (promptTokens + PROMPT_OFFSET), now);
  }

  /** Records the time between two events of an answer, in nanoseconds. */
  public void recordGap(long nanos, long now) {
    gapTimes.add(nanos, now);
  }

  /** Returns the times to the first event, relative to the size of the prompt. */
  public SpeedWindow firstEventTimes() {
    return firstEventTimes;
  }

  /** Returns the times between events, in nanoseconds. */
  public SpeedWindow gapTimes() {
    return gapTimes;
  }

  double firstEventMean(long now) {
    return firstEventTimes.mean(MIN_FIRST_EVENTS, now);
  }

  double gapMean(long now) {
    return gapTimes.mean(MIN_GAPS, now);
  }

  boolean hasValues(long now) {
    return !Double.isNaN(firstEventTimes.mean(1, now)) || !Double.isNaN(gapTimes.mean(1, now));
  }

  void setSlowness(double value) {
    slowness = value;
  }

  /**
   * Returns the slowness to use for a routing decision; 1.0 if a probe is due, so that the endpoint
   * is chosen as if it were fast.
   */
  double slowness(long now) {
    boolean probeDue = now - lastPlacedNanos >= PROBE_INTERVAL_NANOS;
    return probeDue ? 1.0 : slowness;
  }

  double lastSlowness() {
    return slowness;
  }
}
