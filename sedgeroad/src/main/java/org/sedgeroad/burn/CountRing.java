package org.sedgeroad.burn;

/**
 * Counts of one window in a fixed number of slots. A slot is cleared when its time comes round. Not
 * thread-safe.
 */
final class CountRing {
  private static final int WIDTH = Cause.values().length + 1;

  private final int[] counts;
  private final int slots;
  private final long slotNanos;
  private long newest;

  CountRing(BurnWindow window, long nowNanos) {
    this.slots = window.slots();
    this.slotNanos = window.slotNanos();
    this.counts = new int[slots * WIDTH];
    this.newest = Math.floorDiv(nowNanos, slotNanos);
  }

  /** Counts one request or item; the cause is null for a good one. */
  void add(Cause cause, long nowNanos) {
    moveTo(nowNanos);
    int start = (int) Math.floorMod(newest, (long) slots) * WIDTH;
    counts[start]++;
    if (cause != null) {
      counts[start + 1 + cause.ordinal()]++;
    }
  }

  /** Returns the sum of all slots: the total, then the count of each cause. */
  long[] sum(long nowNanos) {
    moveTo(nowNanos);
    long[] sum = new long[WIDTH];
    for (int index = 0; index < counts.length; index++) {
      sum[index % WIDTH] += counts[index];
    }
    return sum;
  }

  private void moveTo(long nowNanos) {
    long slot = Math.floorDiv(nowNanos, slotNanos);
    long steps = Math.min(slots, slot - newest);
    for (long step = 1; step <= steps; step++) {
      int start = (int) Math.floorMod(slot - steps + step, (long) slots) * WIDTH;
      java.util.Arrays.fill(counts, start, start + WIDTH, 0);
    }
    newest = Math.max(newest, slot);
  }
}
