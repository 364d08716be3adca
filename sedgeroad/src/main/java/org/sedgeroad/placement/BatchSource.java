package org.sedgeroad.placement;

import java.util.Set;
import org.sedgeroad.gateway.ServiceEndpoint;

/** The batch items of this instance, as the dispatcher sees them. Used on the event loop. */
public interface BatchSource {
  /** A source without items. */
  BatchSource NONE =
      new BatchSource() {
        @Override
        public Set<String> services() {
          return Set.of();
        }

        @Override
        public int ready(String service) {
          return 0;
        }

        @Override
        public boolean startNext(ServiceEndpoint endpoint) {
          return false;
        }

        @Override
        public boolean withdraw(String endpoint) {
          return false;
        }
      };

  /** Returns the services that have items ready. */
  Set<String> services();

  /** Returns how many items of a service could start now. */
  int ready(String service);

  /** Starts the most urgent item at an endpoint, whose place is taken; returns whether it did. */
  boolean startNext(ServiceEndpoint endpoint);

  /** Stops the least urgent item at an endpoint, whose place is given back; returns whether so. */
  boolean withdraw(String endpoint);
}
