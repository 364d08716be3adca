package org.sedgeroad.burn;

import java.time.Duration;

/**
 * Time windows of a burn report. The counts of a window are kept in a few time buckets; all windows
 * together take 1.4 KB for each member and service class. The oldest bucket is dropped as a whole,
 * so the time that is counted can be up to one bucket shorter than the window.
 */
public enum BurnWindow {
  /** Five minutes in buckets of 10 s. */
  FIVE_MINUTES("5m", Duration.ofMinutes(5), 30),
  /** One hour in buckets of 5 min. */
  ONE_HOUR("1h", Duration.ofHours(1), 12),
  /** Six hours in buckets of 30 min. */
  SIX_HOURS("6h", Duration.ofHours(6), 12),
  /** Three days in buckets of 6 h. */
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
   * Returns the window with the given form, for example {@code 5m}.
   *
   * @throws IllegalArgumentException if no window has this form
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
