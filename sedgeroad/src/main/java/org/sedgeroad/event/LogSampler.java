package org.sedgeroad.event;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Optional;
import org.sedgeroad.MonotonicClock;

/**
 * Chooses the requests whose routine lines are logged while there are too many of these.
 *
 * <p>A request is chosen by its id, by one in 2, 4, 8 and so on, so that all lines of a chosen
 * request stay together and a request that is chosen at a lower rate is chosen at each higher one.
 * Thread-safe.
 */
final class LogSampler {
  /**
   * Routine lines a second above which requests are left out; seven times those of an instance at
   * the size in docs/CAPACITY.md, 60 KB a second.
   */
  static final int LINES_PER_SECOND = 200;

  private static final long WINDOW_NANOS = 1_000_000_000L;

  /** More halvings than any rate needs that one process can reach. */
  private static final int MAX_HALVINGS = 20;

  /**
   * Lines that were left out in one window.
   *
   * @param lines their number
   * @param oneIn requests of which one was chosen at the end of the window
   */
  record OmittedLines(long lines, int oneIn) {}

  private final MonotonicClock clock;
  private long windowEndNanos;
  private int halvings;
  private long seen;
  private long kept;

  LogSampler(MonotonicClock clock) {
    this.clock = clock;
    this.windowEndNanos = clock.nanos() + WINDOW_NANOS;
  }

  /** Returns whether a routine line of a request is logged. */
  synchronized boolean sample(String request) {
    seen++;
    long hash = Hashing.komihash5_0().hashCharsToLong(request);
    if (Long.numberOfTrailingZeros(hash) < halvings || kept >= 2 * LINES_PER_SECOND) {
      return false;
    }
    kept++;
    if (kept >= LINES_PER_SECOND && halvings < MAX_HALVINGS) {
      halvings++;
    }
    return true;
  }

  /** Begins a new window if the last one has ended; returns what was left out there, if any. */
  synchronized Optional<OmittedLines> endWindow() {
    if (!clock.hasPassed(windowEndNanos)) {
      return Optional.empty();
    }
    OmittedLines omitted = new OmittedLines(seen - kept, 1 << halvings);
    int needed = 0;
    while (seen >> needed > LINES_PER_SECOND && needed < MAX_HALVINGS) {
      needed++;
    }
    // One step back at a time: a rate that falls for a moment must not bring a burst of lines.
    halvings = Math.max(needed, halvings - 1);
    seen = 0;
    kept = 0;
    windowEndNanos = clock.nanos() + WINDOW_NANOS;
    return omitted.lines() == 0 ? Optional.empty() : Optional.of(omitted);
  }
}
