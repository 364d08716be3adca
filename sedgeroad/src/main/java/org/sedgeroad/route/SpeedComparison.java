package org.sedgeroad.route;

import java.util.Arrays;
import java.util.Collection;
import java.util.function.ToDoubleFunction;

/** Compares the speed of each endpoint of a service with the median of all. */
public final class SpeedComparison {
  /** Minimum number of observed endpoints; with fewer there is no meaningful median. */
  public static final int MIN_ENDPOINTS = 3;

  /** Ratios to the median below this are treated as noise or as due to different requests. */
  private static final double NOISE_RATIO = 1.5;

  private static final double MAX_SLOWNESS = 20;

  private SpeedComparison() {}

  /** Updates the slowness of each endpoint from the recent observations. */
  static void update(Collection<EndpointSpeed> speeds, long now) {
    double firstMedian = median(speeds, speed -> speed.firstEventMean(now));
    double gapMedian = median(speeds, speed -> speed.gapMean(now));
    for (EndpointSpeed speed : speeds) {
      // Without recent values the last result is kept until a probe provides new ones.
      if (speed.hasValues(now)) {
        double ratio =
            Math.max(
                ratio(speed.firstEventMean(now), firstMedian),
                ratio(speed.gapMean(now), gapMedian));
        speed.setSlowness(ratio < NOISE_RATIO ? 1.0 : Math.min(MAX_SLOWNESS, ratio));
      }
    }
  }

  private static double ratio(double mean, double median) {
    return Double.isNaN(mean) || Double.isNaN(median) || median <= 0 ? 1.0 : mean / median;
  }

  private static double median(
      Collection<EndpointSpeed> speeds, ToDoubleFunction<EndpointSpeed> mean) {
    double[] means =
        speeds.stream().mapToDouble(mean).filter(value -> !Double.isNaN(value)).toArray();
    return means.length < MIN_ENDPOINTS ? Double.NaN : median(means);
  }

  /** Returns the median of an array that is not empty; sorts the array. */
  public static double median(double[] values) {
    Arrays.sort(values);
    return values[values.length / 2];
  }
}
