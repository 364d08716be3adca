package org.sedgeroad.route;

/** Observed speed of one endpoint. Guarded by the lock of its {@link EndpointTable}. */
final class EndpointSpeed {
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

  void recordFirstEvent(int promptTokens, long nanos, long now) {
    firstEventTimes.add((double) nanos / (promptTokens + PROMPT_OFFSET), now);
  }

  void recordGap(long nanos, long now) {
    gapTimes.add(nanos, now);
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
