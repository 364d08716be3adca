package org.sedgeroad.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import org.sedgeroad.route.SpeedComparison;

/**
 * Speed of one endpoint incarnation relative to the median of its service: the median of the last
 * five ratios, of which one is added in a second. Answers slow phases of half a second, which occur
 * at each endpoint at times: they affect two ratios at most.
 */
final class SpeedFactor {
  /** Number of ratios that are remembered; two that are wrong don't move the median of five. */
  private static final int REMEMBERED_RATIOS = 5;

  /** Smallest number of ratios with a median that a single wrong ratio does not determine. */
  private static final int MINIMUM_RATIOS = 3;

  /**
   * Factors from the inverse of this one up to this one count as 1: endpoints that run different
   * requests at the same speed differ by about a tenth.
   */
  private static final double NOISE_RATIO = 1.15;

  /** Largest factor and inverse of the smallest one, so that no endpoint is left out for ever. */
  private static final double LARGEST_FACTOR = 20;

  /**
   * Time without a ratio after which an endpoint counts as one of median speed again, in
   * milliseconds; so a slow endpoint that gets no requests is tried again.
   */
  private static final long FORGET_MILLIS = 10_000;

  private final Deque<Double> ratios = new ArrayDeque<>();
  private long addedNanos;

  /** Adds the ratio of one second, evaluated at a monotonic time in nanoseconds. */
  void add(double ratio, long nowNanos) {
    ratios.addLast(Math.max(1 / LARGEST_FACTOR, Math.min(LARGEST_FACTOR, ratio)));
    if (ratios.size() > REMEMBERED_RATIOS) {
      ratios.removeFirst();
    }
    addedNanos = nowNanos;
  }

  /** Returns the factor at a monotonic time in nanoseconds. */
  double value(long nowNanos) {
    if (ratios.size() < MINIMUM_RATIOS || nowNanos - addedNanos >= FORGET_MILLIS * 1_000_000L) {
      return 1;
    }
    double median =
        SpeedComparison.median(ratios.stream().mapToDouble(Double::doubleValue).toArray());
    return median <= NOISE_RATIO && median >= 1 / NOISE_RATIO ? 1 : median;
  }
}
