package org.sedgeroad.route;

import java.util.Arrays;
import java.util.Collection;
import java.util.function.ToDoubleFunction;

/** Compares the speed of each endpoint of a service with the median of all. */
final class SpeedComparison {
  /** Minimum number of observed endpoints; with fewer there is no meaningful median. */
  private static final int LEAST_PEERS = 3;

  /** Ratios to the median below this are treated as noise or as due to different requests. */
  private static final double NOISE = 1.5;

  private static final double MOST = 20;

  private SpeedComparison() {}

  /** Updates the slowness of each endpoint from the recent observations. */
  static void update(Collection<EndpointSpeed> speeds, long now) {
    double firstMedian = median(speeds, speed -> speed.firstMean(now));
    double gapMedian = median(speeds, speed -> speed.gapMean(now));
    for (EndpointSpeed speed : speeds) {
      // Without recent values the last result is kept until a probe provides new ones.
      if (speed.hasValues(now)) {
        double ratio =
            Math.max(
                ratio(speed.firstMean(now), firstMedian), ratio(speed.gapMean(now), gapMedian));
        speed.setSlowness(ratio < NOISE ? 1.0 : Math.min(MOST, ratio));
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
    if (means.length < LEAST_PEERS) {
      return Double.NaN;
    }
    Arrays.sort(means);
    return means[means.length / 2];
  }
}
