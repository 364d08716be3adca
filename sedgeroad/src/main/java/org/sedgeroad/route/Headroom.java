package org.sedgeroad.route;

/**
 * Calculates the number of batch items allowed at one endpoint over time. Falls at once when live
 * requests arrive; after a burst it rises again in doubling steps.
 */
final class Headroom {
  private static final long REFILL_NANOS = 50_000_000L;

  private final LiveBurst burst = new LiveBurst();
  private boolean refilling = true;
  private int granted;
  private int step = 1;
  private long nextStepNanos;
  private long lastUseNanos;

  /**
   * Creates an object that allows no items at first, because this instance may have become the
   * endpoint's owner during a burst.
   */
  Headroom(long now) {
    nextStepNanos = now;
    lastUseNanos = now;
  }

  boolean isUnusedSince(long nanos) {
    return lastUseNanos - nanos < 0;
  }

  /**
   * Returns the number of batch items that may be in flight. Repeated calls with the same arguments
   * give the same result.
   *
   * @param free number of slots to keep free in addition to those of the live requests
   */
  int allow(int slots, int free, int live, int batch, long now) {
    lastUseNanos = now;
    burst.observe(live, now);
    int room = Math.max(0, slots - free - live);
    if (burst.current() > 1 && room < batch) {
      refilling = true;
      step = 1;
      granted = room;
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
