package org.sedgeroad.placement;

import java.util.Arrays;

/**
 * Forecast of the number of slots that the live requests of a service need in the next seconds.
 * Immutable.
 *
 * <p>Answers a load whose peaks return at a fixed interval: what was needed one and two periods ago
 * is expected again. The period is the time shift at which the samples agree best with themselves.
 * Without a shift at which they clearly agree, as with a steady load, a single jump, or too short a
 * history, nothing is expected beyond the present demand.
 */
final class DemandForecast {
  /**
   * Time between two samples in milliseconds. An item that is withdrawn this much later or earlier
   * than expected loses little of a run of seconds.
   */
  static final int SAMPLE_MILLIS = 200;

  /** Number of samples that a forecast uses: two periods of the longest that is recognised. */
  static final int MAXIMUM_SAMPLES = 100;

  /**
   * Shortest period in samples, 4 s. In a shorter one, no item of 4 to 5 s would find a trough to
   * run in, and the shift at which a single jump agrees best is the shortest.
   */
  private static final int SHORTEST_PERIOD = 20;

  /** Longest period in samples, 10 s: results are due after 18 s, which has to hold two troughs. */
  private static final int LONGEST_PERIOD = MAXIMUM_SAMPLES / 2;

  /**
   * Largest mean difference between samples one period apart, relative to their mean deviation from
   * their mean. Independent random samples have 1.4; half of that needs a repeated pattern.
   */
  private static final double MAXIMUM_DIFFERENCE = 0.7;

  private final double[] samples;
  private final int period;

  private DemandForecast(double[] samples, int period) {
    this.samples = samples;
    this.period = period;
  }

  /**
   * Returns the forecast from samples of the demand.
   *
   * @param samples numbers of slots in use by live requests, {@link #SAMPLE_MILLIS} apart, the
   *     oldest first, not null; copied
   */
  static DemandForecast of(double[] samples) {
    return new DemandForecast(samples.clone(), period(samples));
  }

  /** Returns whether the demand repeats, so that something is expected. */
  boolean isPeriodic() {
    return period > 0;
  }

  /** Returns the period of the demand in milliseconds, 0 if it does not repeat. */
  long periodMillis() {
    return (long) period * SAMPLE_MILLIS;
  }

  /** Returns the mean demand of the last period in slots, 0 if it does not repeat. */
  double mean() {
    return Arrays.stream(samples, samples.length - period, samples.length).average().orElse(0);
  }

  /**
   * Returns the largest number of slots that live requests are expected to need until some time
   * after the last sample; 0 if nothing is expected.
   *
   * @param horizonMillis the time in milliseconds; times over one period count as one period
   */
  double peakWithin(long horizonMillis) {
    if (period == 0) {
      return 0;
    }
    // The next sample is included, because a period is not a whole number of samples.
    long steps = Math.min(period, Math.max(0, horizonMillis) / SAMPLE_MILLIS + 1);
    double peak = 0;
    for (int step = 1; step <= steps; step++) {
      peak = Math.max(peak, expected(step));
    }
    return peak;
  }

  private double expected(int step) {
    int last = samples.length - 1 + step - period;
    return last < period ? samples[last] : (samples[last] + samples[last - period]) / 2;
  }

  private static int period(double[] samples) {
    double limit = MAXIMUM_DIFFERENCE * deviation(samples);
    int longest = Math.min(LONGEST_PERIOD, samples.length / 2);
    int best = 0;
    double least = limit;
    for (int shift = SHORTEST_PERIOD; shift <= longest; shift++) {
      double difference = difference(samples, shift);
      if (difference < least) {
        least = difference;
        best = shift;
      }
    }
    boolean atEdge =
        best == SHORTEST_PERIOD || best > 0 && best == longest && isFalling(samples, best);
    return atEdge ? 0 : best;
  }

  /** Returns whether a longer shift may agree better than the longest that can be compared. */
  private static boolean isFalling(double[] samples, int shift) {
    return difference(samples, shift) < difference(samples, shift - 1);
  }

  private static double deviation(double[] samples) {
    double sum = 0;
    for (double sample : samples) {
      sum += sample;
    }
    double mean = sum / Math.max(1, samples.length);
    double deviations = 0;
    for (double sample : samples) {
      deviations += Math.abs(sample - mean);
    }
    return deviations / Math.max(1, samples.length);
  }

  private static double difference(double[] samples, int shift) {
    double sum = 0;
    for (int index = shift; index < samples.length; index++) {
      sum += Math.abs(samples[index] - samples[index - shift]);
    }
    return sum / (samples.length - shift);
  }
}
