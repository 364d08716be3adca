package org.sedgeroad.burn;

import java.time.Duration;

/**
 * Windows of the report. Each is kept in few slots, so that a record of all windows takes 1.4 KB;
 * the oldest slot is counted whole, which makes a window up to one slot too short.
 */
public enum BurnWindow {
  /** Five minutes in slots of 10 s. */
  FIVE_MINUTES("5m", Duration.ofMinutes(5), 30),
  /** One hour in slots of 5 min. */
  ONE_HOUR("1h", Duration.ofHours(1), 12),
  /** Six hours in slots of 30 min. */
  SIX_HOURS("6h", Duration.ofHours(6), 12),
  /** Three days in slots of 6 h. */
  THREE_DAYS("3d", Duration.ofDays(3), 12);

  private final String text;
  private final Duration length;
  private final int buckets;

  BurnWindow(String text, Duration length, int buckets) {
    this.text = text;
    this.length = length;
    this.buckets = buckets;
  }

  /** Returns the form used in reports, for example {@code 5m}. */
  public String toText() {
    return text;
  }

  /**
   * Returns the window of a written form.
   *
   * @throws IllegalArgumentException if there is none
   */
  public static BurnWindow ofText(String text) {
    for (BurnWindow window : values()) {
      if (window.text.equals(text)) {
        return window;
      }
    }
    throw new IllegalArgumentException("unknown window: " + text);
  }

  int buckets() {
    return buckets;
  }

  long bucketNanos() {
    return length.toNanos() / buckets;
  }
}
