package org.sedgeroad.metric;

/** Receives the live requests that have ended. Called by many threads; must not block. */
@FunctionalInterface
public interface RequestObserver {

  /** Takes note of one request. */
  void ended(CompletedRequest request);

  /** Returns an observer that passes each request on to both. */
  static RequestObserver both(RequestObserver first, RequestObserver second) {
    return request -> {
      first.ended(request);
      second.ended(request);
    };
  }
}
