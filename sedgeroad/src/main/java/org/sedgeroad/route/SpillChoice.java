package org.sedgeroad.route;

import org.sedgeroad.ServiceClass;

/**
 * Expected times of a request in its own and in another region, on which a {@link SpillPolicy}
 * decides. All times are in nanoseconds.
 *
 * @param serviceClass class of the request
 * @param localWait expected wait for a slot in this region, {@link Long#MAX_VALUE} if no endpoint
 *     is usable
 * @param remoteWait expected wait for a slot in the other region plus the network round trip,
 *     {@link Long#MAX_VALUE} if no endpoint is usable
 * @param run expected duration of the run itself
 * @param toDeadline time remaining until the deadline, negative if it has passed
 */
public record SpillChoice(
    ServiceClass serviceClass, long localWait, long remoteWait, long run, long toDeadline) {

  /** Returns whether the request would meet its deadline in this region. */
  public boolean isLocalInTime() {
    return endsInTime(localWait);
  }

  /** Returns whether the request would meet its deadline in the other region. */
  public boolean isRemoteInTime() {
    return endsInTime(remoteWait);
  }

  private boolean endsInTime(long wait) {
    // Adding the run to a wait of Long.MAX_VALUE would overflow.
    return wait <= toDeadline - run;
  }
}
