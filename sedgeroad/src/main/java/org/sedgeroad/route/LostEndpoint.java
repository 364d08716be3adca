package org.sedgeroad.route;

import java.util.HashSet;
import java.util.Set;

/**
 * Lost endpoint with the fingerprints of the requests that were in flight there. Not thread-safe.
 */
final class LostEndpoint {
  private final String key;
  private final long lostAtNanos;
  private final Set<String> fingerprints = new HashSet<>();
  private final Set<String> priorSuspects = new HashSet<>();

  LostEndpoint(String key, long nanos) {
    this.key = key;
    this.lostAtNanos = nanos;
  }

  /** Returns the name and the address of the endpoint, separated by {@code @}. */
  String key() {
    return key;
  }

  long lostAtNanos() {
    return lostAtNanos;
  }

  Set<String> fingerprints() {
    return fingerprints;
  }

  /**
   * Adds a request that was in flight there.
   *
   * @param wasSuspect whether the request was already suspected because of another lost endpoint
   */
  void add(String fingerprint, boolean wasSuspect) {
    if (fingerprints.add(fingerprint) && wasSuspect) {
      priorSuspects.add(fingerprint);
    }
  }

  /** Returns whether the request was the only one there that was already a suspect. */
  boolean isOnlySuspect(String fingerprint) {
    return priorSuspects.size() == 1 && priorSuspects.contains(fingerprint);
  }
}
