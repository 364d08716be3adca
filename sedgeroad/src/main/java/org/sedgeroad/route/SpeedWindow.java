package org.sedgeroad.route;

import java.util.Arrays;

/**
 * Sliding window over the last five seconds that calculates the mean of its values, in buckets of
 * one second. Not thread-safe.
 */
public final class SpeedWindow {
  private static final int BUCKETS = 5;
  private static final long BUCKET_NANOS = 1_000_000_000L;

  private final double[] sums = new double[BUCKETS];
  private final int[] counts = new int[BUCKETS];
  private final long[] bucketNumbers = new long[BUCKETS];

  /** Creates a window without values. */
  public SpeedWindow() {
    Arrays.fill(bucketNumbers, Long.MIN_VALUE);
  }

  /** Returns the number of the bucket that a monotonic time in nanoseconds belongs to. */
  public static long bucketNumber(long now) {
    return Math.floorDiv(now, BUCKET_NANOS);
  }

  void add(double value, long now) {
    long number = bucketNumber(now);
    int index = (int) Math.floorMod(number, (long) BUCKETS);
    if (bucketNumbers[index] != number) {
      bucketNumbers[index] = number;
      sums[index] = 0;
      counts[index] = 0;
    }
    sums[index] += value;
    counts[index]++;
  }

  /** Returns the number of values in a bucket, 0 if it is no longer in the window. */
  public int count(long bucketNumber) {
    int index = (int) Math.floorMod(bucketNumber, (long) BUCKETS);
    return bucketNumbers[index] == bucketNumber ? counts[index] : 0;
  }

  /** Returns the sum of the values in a bucket, 0 if it is no longer in the window. */
  public double sum(long bucketNumber) {
    int index = (int) Math.floorMod(bucketNumber, (long) BUCKETS);
    return bucketNumbers[index] == bucketNumber ? sums[index] : 0;
  }

  /** Returns the mean of the values, NaN if there are fewer than the given minimum number. */
  public double mean(int minCount, long now) {
    long oldest = bucketNumber(now) - BUCKETS;
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
