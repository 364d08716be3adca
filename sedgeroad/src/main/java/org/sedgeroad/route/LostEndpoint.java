package org.sedgeroad.route;

import java.util.HashSet;
import java.util.Set;

/** One lost endpoint with the requests that were in flight there. */
final class LostEndpoint {
  private final String key;
  private final long nanos;
  private final Set<String> fingerprints = new HashSet<>();
  private final Set<String> priorSuspects = new HashSet<>();

  LostEndpoint(String key, long nanos) {
    this.key = key;
    this.nanos = nanos;
  }

  /** Returns the name and the address of the endpoint. */
  String key() {
    return key;
  }

  long nanos() {
    return nanos;
  }

  Set<String> fingerprints() {
    return fingerprints;
  }

  /** Adds a request that was in flight there. */
  void add(String fingerprint, boolean wasSuspect) {
    if (fingerprints.add(fingerprint) && wasSuspect) {
      priorSuspects.add(fingerprint);
    }
  }

  /** Returns whether this request was the only one there that was a suspect before. */
  boolean isOnlySuspect(String fingerprint) {
    return priorSuspects.size() == 1 && priorSuspects.contains(fingerprint);
  }
}
