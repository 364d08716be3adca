package org.sedgeroad.peer;

/**
 * Reports the number of live requests at an endpoint after one has started or ended there, so that
 * batch items can be preempted.
 *
 * @param sender name of the sender
 * @param endpoint name of the endpoint
 * @param sequence sequence number, which increases with each message of the sender
 * @param liveRequests live requests that the sender now has in flight at the endpoint
 */
public record LivePressure(String sender, String endpoint, long sequence, int liveRequests)
    implements PeerMessage {}
