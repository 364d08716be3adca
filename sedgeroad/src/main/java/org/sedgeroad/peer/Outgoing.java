package org.sedgeroad.peer;

/**
 * A message that a decision class wants sent.
 *
 * @param target name of the receiver
 * @param message the message
 */
public record Outgoing(String target, PeerMessage message) {}
