package org.sedgeroad.route;

/** The room for batch items at one endpoint over time. */
final class Headroom {
  private static final long REFILL_NANOS = 250_000_000L;

  private final LiveBurst burst = new LiveBurst();
  private boolean refilling = true;
  private int granted;
  private int step = 1;
  private long nextStepNanos;
  private long lastUseNanos;

  /** Starts empty: this instance may have become the endpoint's home during a burst. */
  Headroom(long now) {
    nextStepNanos = now;
    lastUseNanos = now;
  }

  boolean isUnusedSince(long nanos) {
    return lastUseNanos - nanos < 0;
  }

  /** Returns the batch items that may be in flight; calls at one time give one result. */
  int allow(int slots, int live, long now) {
    lastUseNanos = now;
    burst.observe(live, now);
    // A peak as large as all slots would keep batch out for the whole time that it is remembered.
    int most = Math.max(1, slots / 2);
    int reserve = Math.min(most, Math.max(1, burst.peak(now) - burst.current()));
    int room = Math.max(0, slots - reserve - live);
    if (burst.current() > 1 && room < granted) {
      refilling = true;
      step = 1;
      nextStepNanos = now + REFILL_NANOS;
    }
    if (!refilling || room <= granted) {
      granted = room;
    } else if (now - nextStepNanos >= 0) {
      granted = Math.min(room, granted + step);
      step = Math.min(step * 2, Math.max(1, slots));
      nextStepNanos = now + REFILL_NANOS;
    }
    refilling &= granted < room || now - nextStepNanos < 0;
    return granted;
  }
}
