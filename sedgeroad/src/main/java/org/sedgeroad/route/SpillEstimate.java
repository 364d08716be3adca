package org.sedgeroad.route;

import org.sedgeroad.ServiceClass;

/**
 * Expected times of a request in this region and in another one. A {@link SpillPolicy} uses them to
 * decide whether the request is spilled, that is, sent to the other region. All times are in
 * nanoseconds.
 *
 * @param serviceClass class of the request
 * @param localWaitNanos expected wait for a slot in this region, {@link Long#MAX_VALUE} if no
 *     endpoint is usable
 * @param remoteWaitNanos expected wait for a slot in the other region plus the network round trip,
 *     {@link Long#MAX_VALUE} if no endpoint is usable
 * @param runNanos expected duration of the run itself
 * @param remainingNanos time remaining until the deadline, negative if it has passed
 */
public record SpillEstimate(
    ServiceClass serviceClass,
    long localWaitNanos,
    long remoteWaitNanos,
    long runNanos,
    long remainingNanos) {

  /** Returns whether the request would meet its deadline in this region. */
  public boolean meetsDeadlineLocally() {
    return meetsDeadline(localWaitNanos);
  }

  /** Returns whether the request would meet its deadline in the other region. */
  public boolean meetsDeadlineRemotely() {
    return meetsDeadline(remoteWaitNanos);
  }

  private boolean meetsDeadline(long waitNanos) {
    // Adding the run to a wait of Long.MAX_VALUE would overflow.
    return waitNanos <= remainingNanos - runNanos;
  }
}
