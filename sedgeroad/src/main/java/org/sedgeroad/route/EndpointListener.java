package org.sedgeroad.route;

import org.sedgeroad.Endpoint;

/**
 * Learns that this instance itself saw an endpoint go out of use. Called without a lock; must not
 * block.
 */
public interface EndpointListener {
  /** Does nothing. */
  EndpointListener NONE =
      new EndpointListener() {
        @Override
        public void draining(Endpoint endpoint) {}

        @Override
        public void failed(Endpoint endpoint) {}
      };

  /** Tells that an endpoint said that it is leaving. */
  void draining(Endpoint endpoint);

  /** Tells that a connection to an endpoint failed. */
  void failed(Endpoint endpoint);
}
