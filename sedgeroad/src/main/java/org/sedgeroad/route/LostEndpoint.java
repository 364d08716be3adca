package org.sedgeroad.route;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Lost endpoint with the fingerprints of the requests that were in flight there. Not thread-safe.
 */
final class LostEndpoint {
  private final String key;
  private final long lostAtNanos;
  private final Set<String> fingerprints = new HashSet<>();
  private final Set<String> priorSuspects = new HashSet<>();
  private final Map<String, Long> firstAnswerNanosByService = new HashMap<>();

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

  /** Records that a request of a service has been answered since this loss. */
  void recordAnswer(String service, long nanos) {
    firstAnswerNanosByService.putIfAbsent(service, nanos);
  }

  /** Returns whether a request of a service was answered between this loss and a later one. */
  boolean isAnswerBetween(String service, LostEndpoint later) {
    Long answeredAt = firstAnswerNanosByService.get(service);
    return answeredAt != null && answeredAt - later.lostAtNanos < 0;
  }

  /** Returns whether the request was the only one there that was already a suspect. */
  boolean isOnlySuspect(String fingerprint) {
    return priorSuspects.size() == 1 && priorSuspects.contains(fingerprint);
  }
}
