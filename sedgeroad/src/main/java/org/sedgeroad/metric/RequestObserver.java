package org.sedgeroad.metric;

/** Receives live requests that have ended. Called by several threads at once; must not block. */
@FunctionalInterface
public interface RequestObserver {

  /** Called once for each request that has ended. */
  void requestEnded(CompletedRequest request);

  /** Returns an observer that passes each request to {@code first}, then to {@code second}. */
  static RequestObserver both(RequestObserver first, RequestObserver second) {
    return request -> {
      first.requestEnded(request);
      second.requestEnded(request);
    };
  }
}
