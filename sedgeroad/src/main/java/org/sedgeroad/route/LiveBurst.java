package org.sedgeroad.route;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Measures the recent increase in the number of live requests at one endpoint.
 *
 * <p>A burst is the increase within the time that preempted batch items need to release their
 * slots. The number of live requests itself is not part of the result; {@link Headroom} subtracts
 * it from the slots.
 */
final class LiveBurst {
  /**
   * Time that it takes to release a preempted item's slot, including the message to the endpoint's
   * owner.
   */
  private static final long WINDOW_NANOS = 50_000_000L;

  private record Sample(long nanos, int live) {}

  private final Deque<Sample> recent = new ArrayDeque<>();
  private int increase;

  void observe(int live, long now) {
    if (recent.isEmpty() || recent.peekLast().live() != live) {
      recent.addLast(new Sample(now, live));
    }
    // The last sample before the start of the window is kept: it gives the value at the start.
    while (recent.size() > 1 && now - secondSample().nanos() >= WINDOW_NANOS) {
      recent.removeFirst();
    }
    int minimum = live;
    for (Sample sample : recent) {
      minimum = Math.min(minimum, sample.live());
    }
    increase = live - minimum;
  }

  /** Returns the increase over the lowest value in the window. */
  int increase() {
    return increase;
  }

  private Sample secondSample() {
    var samples = recent.iterator();
    samples.next();
    return samples.next();
  }
}
