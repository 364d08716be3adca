package org.sedgeroad.route;

import org.sedgeroad.Endpoint;

/**
 * Receives notifications of endpoints that became unusable as observed by this instance itself, not
 * as reported by another one. Methods are called without holding a lock and must not block.
 */
public interface EndpointStateListener {
  /** Listener that does nothing. */
  EndpointStateListener NONE =
      new EndpointStateListener() {
        @Override
        public void draining(Endpoint endpoint) {}

        @Override
        public void failed(Endpoint endpoint) {}
      };

  /** Called when an endpoint has announced that it is draining. */
  void draining(Endpoint endpoint);

  /** Called when a connection to an endpoint has failed. */
  void failed(Endpoint endpoint);
}
