package org.sedgeroad.placement;

/**
 * Estimate of the time in which endpoints of median speed of one service process a prompt token,
 * from the times to the first event of requests whose uncached tokens are known. Used on the event
 * loop.
 *
 * <p>It is the slope of a linear regression with an initial estimate, which prompts of nearly the
 * same size hardly change: their differences say nothing about the size.
 */
final class PrefillRate {
  /** Initial estimate in milliseconds for each token: that of an engine with 67 tokens/ms. */
  static final double INITIAL = 0.015;

  /** Variance of the sizes of prompts, in square tokens, at which half of the slope is observed. */
  private static final double INITIAL_VARIANCE = 1e6;

  /** Weight of a new observation once there are many. */
  private static final double WEIGHT = 0.02;

  /** Number of observations before outliers are recognised. */
  private static final int MINIMUM_OBSERVATIONS = 10;

  /** Bounds of the estimate, in milliseconds for each token. */
  private static final double LEAST = 0.001;

  private static final double MOST = 0.2;

  private int count;
  private double meanTokens;
  private double meanMillis;
  private double variance;
  private double covariance;
  private double meanDeviation;

  /**
   * Adds an observation.
   *
   * @param tokens number of prompt tokens that were probably processed, not negative
   * @param millis time to the first event at median speed, in milliseconds
   */
  void add(int tokens, double millis) {
    count++;
    double weight = Math.max(WEIGHT, 1.0 / count);
    double expected = meanMillis + millisPerToken() * (tokens - meanTokens);
    // A later first event was queued inside the endpoint, which says nothing about the rate.
    double limit = expected + 2 * meanDeviation;
    double bounded = count > MINIMUM_OBSERVATIONS ? Math.min(millis, limit) : millis;
    meanDeviation += weight * (Math.abs(millis - expected) - meanDeviation);
    double tokensApart = tokens - meanTokens;
    double millisApart = bounded - meanMillis;
    meanTokens += weight * tokensApart;
    meanMillis += weight * millisApart;
    variance = (1 - weight) * (variance + weight * tokensApart * tokensApart);
    covariance = (1 - weight) * (covariance + weight * tokensApart * millisApart);
  }

  /** Returns the estimated time in milliseconds for each token. */
  double millisPerToken() {
    double slope = (covariance + INITIAL_VARIANCE * INITIAL) / (variance + INITIAL_VARIANCE);
    return Math.max(LEAST, Math.min(MOST, slope));
  }
}
