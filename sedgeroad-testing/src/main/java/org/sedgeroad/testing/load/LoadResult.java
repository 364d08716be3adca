package org.sedgeroad.testing.load;

import java.util.List;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/**
 * Results of a load as its callers saw them.
 *
 * @param startMicros wall-clock time of the start of the load, in microseconds since 1970
 * @param endMicros wall-clock time at which the wait for the load ended, in microseconds since 1970
 * @param records one record per request, in the order of their ends
 * @param gaps times between successive tokens of a stream, in nanoseconds
 * @param timeoutNanos time after which a caller closes its connection, in nanoseconds
 */
public record LoadResult(
    long startMicros, long endMicros, List<LiveRecord> records, Histogram gaps, long timeoutNanos) {
  private static final long MAX_NANOS = 3_600_000_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;

  /** Copies the records. */
  public LoadResult {
    records = List.copyOf(records);
  }

  /** Returns an empty histogram of nanoseconds up to one hour. */
  public static Histogram histogram() {
    return new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);
  }

  /**
   * Returns the times to the first token in nanoseconds, for the records that satisfy a condition.
   * A request without a whole answer counts as the timeout.
   */
  public Histogram firstTokenTimes(Predicate<LiveRecord> filter) {
    Histogram histogram = histogram();
    for (LiveRecord record : records) {
      if (filter.test(record)) {
        // A failed request must not make a percentile better than a slow one would.
        histogram.recordValue(
            record.isWhole() ? Math.max(0, record.firstTokenNanos()) : timeoutNanos);
      }
    }
    return histogram;
  }

  /** Returns a percentile, from 0 to 100, of the time to the first token in milliseconds. */
  public double firstTokenMillis(double percentile) {
    return firstTokenTimes(record -> true).getValueAtPercentile(percentile) / 1e6;
  }

  /** Returns the number of requests with the given outcome. */
  public long count(Outcome outcome) {
    return records.stream().filter(record -> record.outcome() == outcome).count();
  }

  /** Returns the number of requests without a whole answer. */
  public long failures() {
    return records.size() - count(Outcome.WHOLE);
  }
}
