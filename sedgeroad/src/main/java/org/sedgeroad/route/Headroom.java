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

  /**
   * Returns the batch items that may be in flight; calls at one time give one result.
   *
   * <p>New items leave the reserve free. Items that are in flight may stay in the reserve as long
   * as one slot is free, since cancelling them would lose their work for a rise that may be short.
   */
  int allow(int slots, int live, int batch, long now) {
    lastUseNanos = now;
    burst.observe(live, now);
    // Batch gives way within milliseconds, so that a larger reserve would only waste slots.
    int most = Math.max(1, slots / 4);
    int reserve = Math.min(most, Math.max(1, burst.peak(now) - burst.current()));
    int room = Math.max(0, slots - reserve - live);
    int kept = Math.min(batch, Math.max(0, slots - 1 - live));
    if (burst.current() > 1 && kept < batch) {
      refilling = true;
      step = 1;
      granted = Math.min(room, kept);
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
    return Math.max(granted, kept);
  }
}
