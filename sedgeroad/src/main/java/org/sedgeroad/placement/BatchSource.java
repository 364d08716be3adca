package org.sedgeroad.placement;

import java.util.Map;
import java.util.Optional;
import org.sedgeroad.gateway.PromptPrefix;
import org.sedgeroad.gateway.ServiceEndpoint;

/** Gives the dispatcher access to the batch items of this instance. Used on the event loop. */
public interface BatchSource {
  /** A source without items. */
  BatchSource NONE =
      new BatchSource() {
        @Override
        public Map<BatchQueue, Integer> ready() {
          return Map.of();
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

  /** Returns how many items of each queue could start now, without empty queues, never null. */
  Map<BatchQueue, Integer> ready();

  /**
   * Returns the urgency of the item that {@link #startNext} would start at an endpoint of a
   * service; empty if none is ready, or if its items are to start in any free slot.
   */
  default Optional<ItemUrgency> next(String service) {
    return Optional.empty();
  }

  /**
   * Returns the prompt of the item that {@link #startNext} would start at an endpoint of a service;
   * {@link PromptPrefix#NONE} if none is ready or its parts are not known.
   */
  default PromptPrefix nextPrompt(String service) {
    return PromptPrefix.NONE;
  }

  /**
   * Starts the most urgent ready item of the endpoint's service at an endpoint; a late item only if
   * none is ready that can still be on time. If an item was started, the dispatcher counts its slot
   * as taken.
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
