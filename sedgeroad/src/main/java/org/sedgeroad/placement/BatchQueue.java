package org.sedgeroad.placement;

import java.util.Objects;

/**
 * Ready batch items of a service that get slots alike: those that can still be on time, or those
 * that are late. Immutable.
 *
 * @param service name of the service, not null
 * @param late whether the queue contains the late items
 */
public record BatchQueue(String service, boolean late) {
  /** Ends the names of queues of late items; the null character occurs in no service name. */
  private static final String LATE_SUFFIX = "\0late";

  /**
   * Checks the components.
   *
   * @throws NullPointerException if the service is null
   */
  public BatchQueue {
    Objects.requireNonNull(service);
  }

  /** Returns the queue of the items of a service that can still be on time. */
  public static BatchQueue onTime(String service) {
    return new BatchQueue(service, false);
  }

  /** Returns the queue of the late items of a service. */
  public static BatchQueue late(String service) {
    return new BatchQueue(service, true);
  }

  /** Returns the name of the queue in load reports, never null. */
  public String reportName() {
    return late ? service + LATE_SUFFIX : service;
  }
}
