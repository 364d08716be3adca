package org.sedgeroad.suspicion;

import java.util.ArrayList;
import java.util.List;

/**
 * Crashes, one after the other, under requests that have something in common, with no answer to any
 * of them in between. Immutable.
 *
 * <p>A crash extends a series only if its run began when the earlier ones were known: crashes at
 * the same time may have one cause that is not a request. Instances exchange series and merge them,
 * in any order, to the same result.
 *
 * @param number number of the series, one more than that of the series before it
 * @param crashes names of the endpoints that crashed, in order; a repeated name has a suffix. Not
 *     null
 * @param answered whether a request was answered since; such a series is over and has no crashes
 */
public record CrashSeries(long number, List<String> crashes, boolean answered) {
  /** The series of a key without any crash. */
  public static final CrashSeries NONE = new CrashSeries(0, List.of(), true);

  /** Number of crashes from which on a series is not extended. */
  private static final int MAXIMUM_CRASHES = 8;

  /**
   * Copies the list.
   *
   * @throws NullPointerException if the list is null
   */
  public CrashSeries {
    crashes = List.copyOf(crashes);
  }

  /** Returns the number of crashes. */
  public int length() {
    return crashes.size();
  }

  /** Returns whether this series contains all crashes of another one. */
  boolean containsAll(CrashSeries other) {
    return crashes.containsAll(other.crashes);
  }

  /** Returns the series after a request was answered. */
  CrashSeries afterAnswer() {
    return new CrashSeries(number, List.of(), true);
  }

  /**
   * Returns the series after a crash.
   *
   * @param crash name of the crash, which no other crash of the series has
   * @param atStart series that was known when the run began
   */
  CrashSeries afterCrash(String crash, CrashSeries atStart) {
    if (answered && !equals(atStart)) {
      // A request was answered while this one ran.
      return this;
    }
    if (answered) {
      return new CrashSeries(number + 1, List.of(crash), false);
    }
    boolean sameSeries = atStart.number == number && !atStart.answered;
    List<String> extended = new ArrayList<>(sameSeries ? atStart.crashes : List.of());
    if (extended.size() >= MAXIMUM_CRASHES) {
      return this;
    }
    extended.add(crash);
    return merge(new CrashSeries(number, extended, false));
  }

  /** Returns the later, answered or longer one of two series. */
  CrashSeries merge(CrashSeries other) {
    if (number != other.number) {
      return number > other.number ? this : other;
    }
    if (answered != other.answered) {
      return answered ? this : other;
    }
    if (length() != other.length()) {
      return length() > other.length() ? this : other;
    }
    return String.join(" ", crashes).compareTo(String.join(" ", other.crashes)) <= 0 ? this : other;
  }
}
