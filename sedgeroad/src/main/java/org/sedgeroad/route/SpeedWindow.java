package org.sedgeroad.route;

import java.util.Arrays;

/**
 * Sliding window over the last five seconds that calculates the mean of its values, in buckets of
 * one second.
 */
final class SpeedWindow {
  private static final int BUCKETS = 5;
  private static final long BUCKET_NANOS = 1_000_000_000L;

  private final double[] sums = new double[BUCKETS];
  private final int[] counts = new int[BUCKETS];
  private final long[] bucketNumbers = new long[BUCKETS];

  SpeedWindow() {
    Arrays.fill(bucketNumbers, Long.MIN_VALUE);
  }

  void add(double value, long now) {
    long number = Math.floorDiv(now, BUCKET_NANOS);
    int index = (int) Math.floorMod(number, (long) BUCKETS);
    if (bucketNumbers[index] != number) {
      bucketNumbers[index] = number;
      sums[index] = 0;
      counts[index] = 0;
    }
    sums[index] += value;
    counts[index]++;
  }

  /** Returns the mean of the values, NaN if there are fewer than the given minimum number. */
  double mean(int minCount, long now) {
    long oldest = Math.floorDiv(now, BUCKET_NANOS) - BUCKETS;
    double sum = 0;
    int count = 0;
    for (int index = 0; index < BUCKETS; index++) {
      if (bucketNumbers[index] > oldest) {
        sum += sums[index];
        count += counts[index];
      }
    }
    return count < minCount ? Double.NaN : sum / count;
  }
}
