package org.sedgeroad.presence;

/** Receives the confirmations of the configuration that other instances send. */
@FunctionalInterface
public interface ConfirmationListener {
  /**
   * Receives a confirmation.
   *
   * @param confirmation the confirmation as it was sent
   * @param reportedNanos monotonic time at which this instance sent a report that the sender had
   *     received before, in nanoseconds
   */
  void confirmed(Confirmation confirmation, long reportedNanos);
}
