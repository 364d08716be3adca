package org.sedgeroad.route;

import java.time.InstantSource;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * What a sender needs to find requests that crash endpoints.
 *
 * @param suspicion what is known of requests
 * @param probe returns whether the endpoint of a broken request has died; may block briefly
 * @param lost takes note of a request whose endpoint has died
 */
public record CrashGuard(
    CrashSuspicion suspicion, Predicate<Placement> probe, Consumer<Placement> lost) {

  /** Returns a guard that takes every endpoint for live, for senders that run alone. */
  public static CrashGuard none() {
    return new CrashGuard(
        new CrashSuspicion(InstantSource.system()), placement -> false, placement -> {});
  }
}
