package org.sedgeroad.peer;

/**
 * Acknowledges a request that needs no other answer.
 *
 * @param done whether the request was carried out
 */
public record Acknowledgement(boolean done) implements PeerMessage {}
