package org.sedgeroad.presence;

import java.util.Map;
import java.util.Objects;
import org.sedgeroad.suspicion.CrashSeries;

/**
 * Series of crashes that have changed recently, sent to hubs and passed on by them. No component
 * may be null.
 *
 * @param instance name of the sender
 * @param series the series by key
 */
public record CrashNews(String instance, Map<String, CrashSeries> series) implements LoadMessage {

  /**
   * Copies the map.
   *
   * @throws NullPointerException if a component is null
   */
  public CrashNews {
    Objects.requireNonNull(instance);
    series = Map.copyOf(series);
  }
}
