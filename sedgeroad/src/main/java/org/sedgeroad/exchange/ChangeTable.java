package org.sedgeroad.exchange;

import java.util.Map;
import java.util.Set;

/**
 * Values by key that several instances merge to the same result, in any order. Used on the event
 * loop.
 *
 * @param <V> type of the values
 */
public interface ChangeTable<V> {
  /** Merges values of other instances; returns the keys whose values changed. */
  Set<String> merge(Map<String, V> received);

  /**
   * Marks the values that are newer here than at another instance as changed, so that they are sent
   * again; returns whether there are any.
   */
  boolean refresh(Map<String, V> received);

  /**
   * Returns values that have changed within a time, the most important ones first if there are more
   * than the limit.
   *
   * @param millis the time, in milliseconds
   * @param limit maximum number of values
   */
  Map<String, V> recent(long millis, int limit);
}
