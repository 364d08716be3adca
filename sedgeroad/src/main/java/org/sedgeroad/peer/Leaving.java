package org.sedgeroad.peer;

/**
 * Announces that the sender is leaving.
 *
 * @param sender name of the sender
 */
public record Leaving(String sender) implements PeerMessage {}
