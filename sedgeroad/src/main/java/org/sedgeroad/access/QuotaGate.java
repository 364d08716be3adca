package org.sedgeroad.access;

/**
 * Keeps the live requests of each workspace within its quota over all instances. Used on the event
 * loop.
 */
public interface QuotaGate {
  /** A gate without quotas. */
  QuotaGate NONE =
      new QuotaGate() {
        @Override
        public boolean allows(Workspace workspace) {
          return true;
        }

        @Override
        public boolean take(Workspace workspace) {
          return true;
        }

        @Override
        public void giveBack(Workspace workspace) {
          // Nothing is counted.
        }

        @Override
        public long retryAtNanos(Workspace workspace) {
          return 0;
        }
      };

  /** Returns whether a request of a workspace that arrives now is within its quota. */
  boolean allows(Workspace workspace);

  /**
   * Counts a request of a workspace that is sent to an endpoint for the first time.
   *
   * @return whether it may be sent; if not, it is not counted
   */
  boolean take(Workspace workspace);

  /** Takes the count of a request back that did not reach an endpoint after all. */
  void giveBack(Workspace workspace);

  /**
   * Returns the monotonic time at which a refused request of a workspace may be sent again, in
   * nanoseconds.
   */
  long retryAtNanos(Workspace workspace);
}
