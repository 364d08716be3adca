package org.sedgeroad.peer;

/**
 * A message to be sent and its receiver.
 *
 * @param target name of the receiver, or the peer address of a seed, {@code IP:PORT}
 * @param message the message
 */
public record OutgoingMessage(String target, PeerMessage message) {}
