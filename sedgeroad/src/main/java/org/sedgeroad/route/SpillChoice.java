package org.sedgeroad.route;

import org.sedgeroad.ServiceClass;

/**
 * What is known when a request could go to another region. All times are in nanoseconds.
 *
 * @param serviceClass class of the request
 * @param localWait expected wait in this region, {@link Long#MAX_VALUE} if no endpoint is usable
 * @param remoteWait expected wait in the other region with the way there and back, {@link
 *     Long#MAX_VALUE} if no endpoint is usable
 * @param run expected duration without waiting
 * @param toDeadline time left to the deadline; below 0 if it has passed
 */
public record SpillChoice(
    ServiceClass serviceClass, long localWait, long remoteWait, long run, long toDeadline) {

  /** Returns whether the request would end in time in this region. */
  public boolean isLocalInTime() {
    return endsInTime(localWait);
  }

  /** Returns whether the request would end in time in the other region. */
  public boolean isRemoteInTime() {
    return endsInTime(remoteWait);
  }

  private boolean endsInTime(long wait) {
    // Written so that a wait of MAX_VALUE does not overflow.
    return wait <= toDeadline - run;
  }
}
