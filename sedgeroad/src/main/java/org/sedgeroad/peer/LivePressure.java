package org.sedgeroad.peer;

/**
 * Tells an endpoint's home that live work started or ended there, so that batch work gives way.
 *
 * @param sender name of the sender
 * @param endpoint name of the endpoint
 * @param sequence increases with each message of the sender
 * @param live live requests that the sender now has in flight at the endpoint
 */
public record LivePressure(String sender, String endpoint, long sequence, int live)
    implements PeerMessage {}
