package org.sedgeroad.route;

/** Observed speed of one endpoint. Guarded by the lock of its {@link EndpointTable}. */
final class EndpointSpeed {
  /**
   * Added to the number of prompt tokens when the time to first token is divided by it, because
   * part of that time does not depend on the prompt.
   */
  private static final int PROMPT_OFFSET = 64;

  private static final int LEAST_FIRST = 2;
  private static final int LEAST_GAPS = 8;

  /**
   * A slow endpoint that has received no work for this time gets one request as a probe, to find
   * out whether it is still slow.
   */
  private static final long PROBE_NANOS = 3_000_000_000L;

  private final SpeedWindow first = new SpeedWindow();
  private final SpeedWindow gaps = new SpeedWindow();
  private double slowness = 1.0;
  private long lastPlacedNanos;

  void placed(long now) {
    lastPlacedNanos = now;
  }

  void firstEvent(int promptTokens, long nanos, long now) {
    first.add((double) nanos / (promptTokens + PROMPT_OFFSET), now);
  }

  void gap(long nanos, long now) {
    gaps.add(nanos, now);
  }

  double firstMean(long now) {
    return first.mean(LEAST_FIRST, now);
  }

  double gapMean(long now) {
    return gaps.mean(LEAST_GAPS, now);
  }

  boolean hasValues(long now) {
    return !Double.isNaN(first.mean(1, now)) || !Double.isNaN(gaps.mean(1, now));
  }

  void setSlowness(double value) {
    slowness = value;
  }

  /**
   * Returns the slowness to use for a routing decision; 1.0 if a probe is due, so that the endpoint
   * is chosen as if it were fast.
   */
  double slowness(long now) {
    boolean probe = now - lastPlacedNanos >= PROBE_NANOS;
    return probe ? 1.0 : slowness;
  }

  double lastSlowness() {
    return slowness;
  }
}
