package org.sedgeroad.peer;

/**
 * Answers a message that needs no other answer.
 *
 * @param done whether the request was carried out
 */
public record Acknowledgement(boolean done) implements PeerMessage {}
