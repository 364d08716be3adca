package org.sedgeroad.placement;

import java.util.Set;
import org.sedgeroad.gateway.ServiceEndpoint;

/** Gives the dispatcher access to the batch items of this instance. Used on the event loop. */
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
        public boolean preempt(String endpoint) {
          return false;
        }
      };

  /** Returns the names of the services that have unfinished items, never null. */
  Set<String> services();

  /** Returns how many items of a service could start now, not negative. */
  int ready(String service);

  /**
   * Starts the most urgent ready item of the endpoint's service at an endpoint. If an item was
   * started, the dispatcher counts its slot as taken.
   *
   * @return whether an item was started
   */
  boolean startNext(ServiceEndpoint endpoint);

  /**
   * Preempts the least urgent item at an endpoint. If an item was preempted, the dispatcher counts
   * its slot as free.
   *
   * @return whether an item was preempted
   */
  boolean preempt(String endpoint);
}
