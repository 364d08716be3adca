package org.sedgeroad.testing.load;

import java.util.List;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/**
 * What the callers of a load saw.
 *
 * @param startMicros start of the load, wall clock in microseconds since 1970
 * @param endMicros end of the last answer
 * @param records one record per request, in the order of their ends
 * @param gaps times between the tokens of a stream, in nanoseconds
 * @param timeoutNanos longest wait of a caller, in nanoseconds
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

  /** Returns the times to the first token of whole answers; failures count as the longest wait. */
  public Histogram firstTokens(Predicate<LiveRecord> filter) {
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

  /** Returns a percentile of the time to the first token in milliseconds. */
  public double firstTokenMillis(double percentile) {
    return firstTokens(record -> true).getValueAtPercentile(percentile) / 1e6;
  }

  /** Returns the number of requests that ended in a given way. */
  public long count(Outcome outcome) {
    return records.stream().filter(record -> record.outcome() == outcome).count();
  }

  /** Returns the number of requests without a whole answer. */
  public long failures() {
    return records.size() - count(Outcome.WHOLE);
  }
}
