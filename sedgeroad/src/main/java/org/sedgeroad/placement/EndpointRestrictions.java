package org.sedgeroad.placement;

import java.util.Collection;
import java.util.Map;
import java.util.OptionalDouble;
import org.sedgeroad.gateway.ServiceEndpoint;

/**
 * What endpoints have announced about themselves that restricts the requests to them. Used on the
 * event loop.
 */
public interface EndpointRestrictions {
  /** No restrictions. */
  EndpointRestrictions NONE =
      new EndpointRestrictions() {
        @Override
        public boolean isLeaving(ServiceEndpoint endpoint) {
          return false;
        }

        @Override
        public int allowance(ServiceEndpoint endpoint) {
          return Integer.MAX_VALUE;
        }

        @Override
        public OptionalDouble rate(ServiceEndpoint endpoint) {
          return OptionalDouble.empty();
        }

        @Override
        public void sent(ServiceEndpoint endpoint) {
          // Nothing depends on it.
        }

        @Override
        public Map<String, Integer> sentToLimited() {
          return Map.of();
        }

        @Override
        public void update(int peersExpected) {
          // Nothing depends on other instances.
        }

        @Override
        public void retain(Collection<ServiceEndpoint> endpoints) {
          // Nothing is kept.
        }
      };

  /** Returns whether an endpoint has announced that it is leaving. */
  boolean isLeaving(ServiceEndpoint endpoint);

  /** Returns how many requests this instance may send to an endpoint now. */
  int allowance(ServiceEndpoint endpoint);

  /**
   * Returns the rate at which this instance may use an endpoint together with others, in requests a
   * second; 0 if only others may use it, empty if the endpoint states no limit.
   */
  OptionalDouble rate(ServiceEndpoint endpoint);

  /** Records that a request is sent to an endpoint. */
  void sent(ServiceEndpoint endpoint);

  /**
   * Returns the number of requests that this instance has sent lately to endpoints with a limited
   * rate, by the names of their incarnations.
   */
  Map<String, Integer> sentToLimited();

  /**
   * Takes changes among the instances into account; to be called at each tick.
   *
   * @param peersExpected number of other instances that are registered
   */
  void update(int peersExpected);

  /** Forgets endpoints that are not among those given. */
  void retain(Collection<ServiceEndpoint> endpoints);
}
