package org.sedgeroad.peer;

/**
 * Requests that the lease writer of the domain writes the sender's counter; answered after the
 * write.
 *
 * @param holder holder name of the sender
 * @param counter counter to write
 */
public record LeaseRenewal(String holder, long counter) implements PeerMessage {}
