package org.sedgeroad.route;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How steeply the live requests at one endpoint rise.
 *
 * <p>A burst is the rise within the time that cancelled batch items need to leave the engine, and
 * not the height of the live load, which is taken off the room separately.
 */
final class LiveBurst {
  /** Time in which a cancelled item leaves its slot, with the message to the home. */
  private static final long HORIZON_NANOS = 50_000_000L;

  private record Sample(long nanos, int live) {}

  private final Deque<Sample> recent = new ArrayDeque<>();
  private int current;

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
  }

  /** Returns the rise that is in progress. */
  int current() {
    return current;
  }

  private Sample second() {
    var samples = recent.iterator();
    samples.next();
    return samples.next();
  }
}
