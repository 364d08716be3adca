package org.sedgeroad.metric;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Values of a label of which there may be very many, such as names of workspaces. Only the first
 * values are kept, so that the number of time series is bounded. Thread-safe.
 */
final class BoundedLabels {
  /** Label of all values beyond the bound. */
  static final String OTHERS = "(others)";

  private final int maximum;
  private final Set<String> values = ConcurrentHashMap.newKeySet();

  /**
   * Creates a set without values.
   *
   * @param maximum largest number of values
   */
  BoundedLabels(int maximum) {
    this.maximum = maximum;
  }

  /** Returns the label for a value: the value itself, or {@link #OTHERS} if there are too many. */
  String of(String value) {
    if (values.contains(value)) {
      return value;
    }
    synchronized (this) {
      return values.size() < maximum && values.add(value) ? value : OTHERS;
    }
  }
}
