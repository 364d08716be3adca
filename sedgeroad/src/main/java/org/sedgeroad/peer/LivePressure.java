package org.sedgeroad.peer;

/**
 * Notifies the owner of an endpoint that a live request started or ended there, so that batch items
 * can be preempted.
 *
 * @param sender name of the sender
 * @param endpoint name of the endpoint
 * @param sequence sequence number, which increases with each message of the sender
 * @param liveRequests live requests that the sender now has in flight at the endpoint
 */
public record LivePressure(String sender, String endpoint, long sequence, int liveRequests)
    implements PeerMessage {}
