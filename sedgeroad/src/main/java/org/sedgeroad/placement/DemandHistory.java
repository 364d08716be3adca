package org.sedgeroad.placement;

import java.util.Arrays;

/**
 * Demand of the live requests of a service for slots in the last seconds, for {@link
 * DemandForecast}. Used on the event loop.
 */
final class DemandHistory {
  private static final long SAMPLE_NANOS = DemandForecast.SAMPLE_MILLIS * 1_000_000L;

  /**
   * Longest time without an observation in samples, 1 s. Loads that are older are not part of the
   * sums of other instances either.
   */
  private static final long LONGEST_GAP = 5;

  private final double[] samples = new double[DemandForecast.MAXIMUM_SAMPLES];
  private int count;
  private long sampleEndNanos;
  private double sum;
  private int observations;
  private DemandForecast forecast = DemandForecast.of(new double[0]);
  private boolean changed;

  /**
   * Records the present demand.
   *
   * @param slots number of slots that live requests use
   * @param nowNanos monotonic time in nanoseconds, not before that of the last call
   */
  void observe(int slots, long nowNanos) {
    if (observations > 0 && nowNanos - sampleEndNanos >= 0) {
      long ended = 1 + (nowNanos - sampleEndNanos) / SAMPLE_NANOS;
      if (ended > LONGEST_GAP) {
        count = 0;
      } else {
        double mean = sum / observations;
        for (long sample = 0; sample < ended; sample++) {
          add(mean);
        }
      }
      sum = 0;
      observations = 0;
      sampleEndNanos += ended * SAMPLE_NANOS;
      changed = true;
    } else if (observations == 0) {
      sampleEndNanos = nowNanos + SAMPLE_NANOS;
    }
    sum += slots;
    observations++;
  }

  private void add(double sample) {
    if (count == samples.length) {
      System.arraycopy(samples, 1, samples, 0, count - 1);
      count--;
    }
    samples[count] = sample;
    count++;
  }

  /** Returns the forecast from the observations until now; computed once for each sample. */
  DemandForecast forecast() {
    if (changed) {
      forecast = DemandForecast.of(Arrays.copyOf(samples, count));
      changed = false;
    }
    return forecast;
  }
}
