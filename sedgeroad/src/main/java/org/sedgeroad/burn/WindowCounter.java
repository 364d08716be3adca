package org.sedgeroad.burn;

/**
 * Counts requests or items over one window, in a ring of time buckets. A bucket is cleared when the
 * ring reaches its position again. Not thread-safe.
 */
final class WindowCounter {
  private static final int COUNTS_PER_BUCKET = Cause.values().length + 1;

  private final int[] counts;
  private final int buckets;
  private final long bucketNanos;
  private long newestBucket;

  WindowCounter(BurnWindow window, long nowNanos) {
    this.buckets = window.buckets();
    this.bucketNanos = window.bucketNanos();
    this.counts = new int[buckets * COUNTS_PER_BUCKET];
    this.newestBucket = Math.floorDiv(nowNanos, bucketNanos);
  }

  /**
   * Counts one request or item.
   *
   * @param cause why it is bad, null if it is good
   * @param nowNanos monotonic time in nanoseconds
   */
  void add(Cause cause, long nowNanos) {
    advanceTo(nowNanos);
    int start = (int) Math.floorMod(newestBucket, (long) buckets) * COUNTS_PER_BUCKET;
    counts[start]++;
    if (cause != null) {
      counts[start + 1 + cause.ordinal()]++;
    }
  }

  /** Returns the sums over all buckets: the total, then the count of each cause. */
  long[] sum(long nowNanos) {
    advanceTo(nowNanos);
    long[] sum = new long[COUNTS_PER_BUCKET];
    for (int index = 0; index < counts.length; index++) {
      sum[index % COUNTS_PER_BUCKET] += counts[index];
    }
    return sum;
  }

  private void advanceTo(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, bucketNanos);
    long steps = Math.min(buckets, bucket - newestBucket);
    for (long step = 1; step <= steps; step++) {
      int start = (int) Math.floorMod(bucket - steps + step, (long) buckets) * COUNTS_PER_BUCKET;
      java.util.Arrays.fill(counts, start, start + COUNTS_PER_BUCKET, 0);
    }
    newestBucket = Math.max(newestBucket, bucket);
  }
}
