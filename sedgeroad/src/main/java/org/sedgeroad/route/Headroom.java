package org.sedgeroad.route;

/**
 * Calculates the number of batch items allowed at one endpoint over time. The number falls at once
 * when live requests arrive; after a burst it rises again in doubling steps.
 */
final class Headroom {
  private static final long REFILL_INTERVAL_NANOS = 50_000_000L;

  private final LiveBurst burst = new LiveBurst();
  private boolean refilling = true;
  private int allowed;
  private int step = 1;
  private long nextStepNanos;
  private long lastUseNanos;

  /**
   * Creates an object whose number of allowed items rises from 0 in steps, as after a burst,
   * because this instance may have become the endpoint's owner during one.
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
   * @param reserved number of slots to keep free in addition to those of the live requests
   */
  int allowedItems(int slots, int reserved, int live, int batch, long now) {
    lastUseNanos = now;
    burst.observe(live, now);
    int available = Math.max(0, slots - reserved - live);
    if (burst.increase() > 1 && available < batch) {
      refilling = true;
      step = 1;
      allowed = available;
      nextStepNanos = now + REFILL_INTERVAL_NANOS;
    }
    if (!refilling || available <= allowed) {
      allowed = available;
    } else if (now - nextStepNanos >= 0) {
      allowed = Math.min(available, allowed + step);
      step = Math.min(step * 2, Math.max(1, slots));
      nextStepNanos = now + REFILL_INTERVAL_NANOS;
    }
    refilling &= allowed < available || now - nextStepNanos < 0;
    return allowed;
  }
}
