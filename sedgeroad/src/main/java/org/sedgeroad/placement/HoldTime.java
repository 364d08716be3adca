package org.sedgeroad.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Mean time for which the live requests of this instance hold slots, by service. Used on the event
 * loop.
 *
 * <p>The mean is the sum of the times in which slots were held, divided by the number of releases.
 * It does not depend on the rate of requests, so that its memory of some seconds does no harm when
 * a peak begins or ends: the release rate is computed with the present number of requests.
 */
final class HoldTime {
  /**
   * Time after which an observation counts half, in nanoseconds; an instance of a large fleet
   * releases some ten slots in this time.
   */
  private static final double HALF_LIFE_NANOS = 5e9;

  private final Map<String, Sums> byService = new HashMap<>();

  /**
   * Records that a slot was taken or released.
   *
   * @param service name of the service
   * @param heldBefore number of slots of the service that were held until now
   * @param releases number of slots that are released now
   * @param nowNanos current time
   */
  void record(String service, int heldBefore, int releases, long nowNanos) {
    Sums sums = byService.computeIfAbsent(service, name -> new Sums(nowNanos));
    double elapsed = nowNanos - sums.lastNanos;
    double kept = Math.pow(0.5, elapsed / HALF_LIFE_NANOS);
    sums.heldNanos = sums.heldNanos * kept + heldBefore * elapsed;
    sums.releases = sums.releases * kept + releases;
    sums.lastNanos = nowNanos;
  }

  /** Returns the mean time in nanoseconds, 0 if no release was observed lately. */
  double meanNanos(String service) {
    Sums sums = byService.get(service);
    return sums == null || sums.releases < 1 ? 0 : sums.heldNanos / sums.releases;
  }

  private static final class Sums {
    private double heldNanos;
    private double releases;
    private long lastNanos;

    Sums(long nowNanos) {
      this.lastNanos = nowNanos;
    }
  }
}
