package org.sedgeroad.route;

import java.time.InstantSource;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Functions that a sender of requests uses to detect requests that crash endpoints.
 *
 * @param detector detector of crashing requests
 * @param probe returns whether the endpoint of a request whose connection broke has crashed; may
 *     block briefly
 * @param endpointLost receives the placement of each request whose endpoint has crashed
 */
public record CrashGuard(
    CrashingRequestDetector detector,
    Predicate<Placement> probe,
    Consumer<Placement> endpointLost) {

  /**
   * Returns a guard that considers no endpoint crashed, for senders that run without other
   * instances.
   */
  public static CrashGuard none() {
    return new CrashGuard(
        new CrashingRequestDetector(InstantSource.system()), placement -> false, placement -> {});
  }
}
