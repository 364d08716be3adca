package org.sedgeroad.event;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Optional;
import org.sedgeroad.MonotonicClock;

/**
 * Limits the rate of routine log lines: at high rates, only the lines of a sample of the requests
 * are logged. Thread-safe.
 *
 * <p>The sample consists of one request in 2, 4, 8 and so on, selected by a hash of the request id.
 * Therefore either all lines of a request are logged or none, as long as the sampling rate stays
 * the same, and a request that is sampled at one rate is also sampled at every higher rate.
 */
final class LogSampler {
  /**
   * Number of routine lines per second above which requests are sampled. This is seven times the
   * rate of an instance of the size in docs/CAPACITY.md, and 60 KB per second.
   */
  static final int LINES_PER_SECOND = 200;

  private static final long WINDOW_NANOS = 1_000_000_000L;

  /**
   * Maximum number of halvings of the sampling rate; no process logs fast enough to need so many.
   */
  private static final int MAX_HALVINGS = 20;

  /**
   * The lines that were omitted in one window.
   *
   * @param lines number of omitted lines
   * @param oneIn inverse of the sampling rate at the end of the window: one request in this many
   *     was sampled
   */
  record OmittedLines(long lines, int oneIn) {}

  private final MonotonicClock clock;
  private long windowEndNanos;
  private int halvings;
  private long seenLines;
  private long loggedLines;

  LogSampler(MonotonicClock clock) {
    this.clock = clock;
    this.windowEndNanos = clock.nanos() + WINDOW_NANOS;
  }

  /**
   * Counts a routine line of a request and returns whether it is to be logged. In one window at
   * most twice {@link #LINES_PER_SECOND} lines are logged.
   */
  synchronized boolean sample(String request) {
    seenLines++;
    long hash = Hashing.komihash5_0().hashCharsToLong(request);
    if (Long.numberOfTrailingZeros(hash) < halvings || loggedLines >= 2 * LINES_PER_SECOND) {
      return false;
    }
    loggedLines++;
    if (loggedLines >= LINES_PER_SECOND && halvings < MAX_HALVINGS) {
      halvings++;
    }
    return true;
  }

  /**
   * Starts a new window if the time of the current one has passed.
   *
   * @return the lines omitted in the window that ended, empty if no window ended or no line was
   *     omitted
   */
  synchronized Optional<OmittedLines> endWindow() {
    if (!clock.hasPassed(windowEndNanos)) {
      return Optional.empty();
    }
    OmittedLines omitted = new OmittedLines(seenLines - loggedLines, 1 << halvings);
    int neededHalvings = 0;
    while (seenLines >> neededHalvings > LINES_PER_SECOND && neededHalvings < MAX_HALVINGS) {
      neededHalvings++;
    }
    // The sampling rate at most doubles per window, so that a momentary drop in load does not cause
    // a burst of lines.
    halvings = Math.max(neededHalvings, halvings - 1);
    seenLines = 0;
    loggedLines = 0;
    windowEndNanos = clock.nanos() + WINDOW_NANOS;
    return omitted.lines() == 0 ? Optional.empty() : Optional.of(omitted);
  }
}
