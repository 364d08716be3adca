package org.sedgeroad.peer;

/**
 * Requests another instance to write the sender's lease counter to the lease object of the domain;
 * the answer is sent after the write. Reserved for a design with one lease writer per domain: no
 * instance sends or handles this message yet.
 *
 * @param holder holder name of the sender
 * @param counter counter to write
 */
public record LeaseRenewal(String holder, long counter) implements PeerMessage {}
