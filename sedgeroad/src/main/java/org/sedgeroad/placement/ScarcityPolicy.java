package org.sedgeroad.placement;

import java.util.Optional;

/**
 * Decides whether a live request is refused when it arrives, because all slots are in use.
 *
 * <p>Answers a load above the capacity for seconds that one workspace causes. Its requests would
 * wait beyond their objective, and their clients would learn it only at their deadline. They are
 * refused at once, with a time to return that is spread over as long as the backlog lasts. A
 * request that has returned is late already, and waits.
 */
final class ScarcityPolicy {
  /**
   * Fraction of the time left within which clients return to a {@code Retry-After}; a later time
   * makes them give up.
   */
  private static final double LONGEST_RETURN = 1.0 / 3;

  /** Part of the time to return that is the same for all, when the wait is longer than that. */
  private static final double EARLIEST_RETURN = 0.5;

  /** Shortest time after which a client returns, in nanoseconds: the age of counts of the fleet. */
  private static final long SHORTEST_RETURN_NANOS = 80_000_000L;

  private ScarcityPolicy() {}

  /**
   * What is known when a request arrives that finds no slot.
   *
   * @param share slots that its workspace uses and its fair share, not null
   * @param before number of waiting requests of all instances that get slots earlier
   * @param sameWorkspace number of waiting requests of all instances of its workspace
   * @param live number of live requests of all instances at endpoints of the service
   * @param holdNanos mean time for which a request holds a slot, in nanoseconds; 0 if unknown
   * @param objectiveLeftNanos time until the objective, in nanoseconds; negative if it has passed
   * @param deadlineLeftNanos time until the deadline, in nanoseconds
   */
  record Arrival(
      FairShare share,
      int before,
      int sameWorkspace,
      int live,
      double holdNanos,
      long objectiveLeftNanos,
      long deadlineLeftNanos) {

    /**
     * Returns the time after which a slot is expected if slots are released as fast as now, in
     * nanoseconds.
     */
    double waitNanos() {
      return live == 0 ? 0 : before * holdNanos / live;
    }

    /**
     * Returns the expected wait if the workspace keeps as many slots as it uses, in nanoseconds; it
     * gets a slot whenever one of its requests ends.
     */
    double waitAtShareNanos() {
      return share.running() == 0 ? 0 : sameWorkspace * holdNanos / share.running();
    }
  }

  /**
   * Refusal of a request that has not run.
   *
   * @param cause description for logs, not null
   * @param returnNanos time after which its client should return, in nanoseconds
   */
  record Rejection(String cause, long returnNanos) {}

  /**
   * Decides on a request of a workspace.
   *
   * @param arrival what is known, not null
   * @param random random number from 0 (inclusive) to 1 (exclusive) that spreads the clients
   * @return the refusal, empty if the request waits
   */
  static Optional<Rejection> decide(Arrival arrival, double random) {
    if (arrival.waitNanos() >= arrival.deadlineLeftNanos()) {
      return Optional.of(
          reject(arrival, arrival.waitNanos(), "no slot is expected before the deadline", random));
    }
    double wait = Math.max(arrival.waitNanos(), arrival.waitAtShareNanos());
    boolean fresh = arrival.objectiveLeftNanos() > 0;
    return fresh && arrival.share().isFarExceeded() && wait > arrival.objectiveLeftNanos()
        ? Optional.of(reject(arrival, wait, "the wait exceeds the objective", random))
        : Optional.empty();
  }

  private static Rejection reject(Arrival arrival, double wait, String cause, double random) {
    double latest = Math.max(0, arrival.deadlineLeftNanos() * LONGEST_RETURN);
    double earliest = Math.min(Math.max(wait, SHORTEST_RETURN_NANOS), latest * EARLIEST_RETURN);
    String text =
        cause
            + ": "
            + arrival.share().describe()
            + ", expected wait "
            + (long) (wait / 1e6)
            + " ms";
    return new Rejection(text, (long) (earliest + random * earliest));
  }
}
