package org.sedgeroad.route;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * How steeply the live requests at one endpoint rise.
 *
 * <p>The reserve has to bridge only the time until cancelled batch items have left the engine.
 * Therefore a burst is the rise within that time, and not the height of the live load, which is
 * taken off the room separately.
 */
final class LiveBurst {
  /** Time in which a cancelled item leaves its slot, with the message to the home. */
  private static final long HORIZON_NANOS = 50_000_000L;

  private static final long BUCKET_NANOS = 1_000_000_000L;
  private static final int BUCKETS = 30;

  private record Sample(long nanos, int live) {}

  private final Deque<Sample> recent = new ArrayDeque<>();
  private final int[] peaks = new int[BUCKETS];
  private final long[] bucketNumbers = new long[BUCKETS];
  private int current;

  LiveBurst() {
    Arrays.fill(bucketNumbers, Long.MIN_VALUE);
  }

  void observe(int live, long now) {
    if (recent.isEmpty() || recent.peekLast().live() != live) {
      recent.addLast(new Sample(now, live));
    }
    // The last sample before the horizon gives the value at its start.
    while (recent.size() > 1 && now - second().nanos() >= HORIZON_NANOS) {
      recent.removeFirst();
    }
    int least = live;
    for (Sample sample : recent) {
      least = Math.min(least, sample.live());
    }
    current = live - least;
    long number = Math.floorDiv(now, BUCKET_NANOS);
    int index = (int) Math.floorMod(number, (long) BUCKETS);
    if (bucketNumbers[index] != number) {
      bucketNumbers[index] = number;
      peaks[index] = 0;
    }
    peaks[index] = Math.max(peaks[index], current);
  }

  /** Returns the rise that is in progress. */
  int current() {
    return current;
  }

  /** Returns the largest rise of the last 30 s. */
  int peak(long now) {
    long oldest = Math.floorDiv(now, BUCKET_NANOS) - BUCKETS;
    int peak = 0;
    for (int index = 0; index < BUCKETS; index++) {
      if (bucketNumbers[index] > oldest) {
        peak = Math.max(peak, peaks[index]);
      }
    }
    return peak;
  }

  private Sample second() {
    var samples = recent.iterator();
    samples.next();
    return samples.next();
  }
}
