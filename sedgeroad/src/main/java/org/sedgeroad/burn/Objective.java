package org.sedgeroad.burn;

import org.sedgeroad.ServiceClass;

/**
 * Service level objective of a service class.
 *
 * @param serviceClass service class
 * @param target fraction of the requests or items that must be good, below 1
 * @param description when a request or item is good
 */
public record Objective(ServiceClass serviceClass, double target, String description) {
  /** Longest time to the first event of a good stream, in nanoseconds; from docs/design.md. */
  static final long MAX_FIRST_EVENT_NANOS = 520_000_000;

  private static final Objective LIVE =
      new Objective(
          ServiceClass.LIVE, 0.95, "whole answer; if streamed, its first event within 0.52 s");
  private static final Objective BATCH =
      new Objective(ServiceClass.BATCH, 0.999, "item done before the deadline of its job");

  /** Returns the objective of a service class. */
  public static Objective of(ServiceClass serviceClass) {
    return serviceClass == ServiceClass.LIVE ? LIVE : BATCH;
  }
}
