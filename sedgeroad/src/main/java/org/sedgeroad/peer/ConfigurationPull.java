package org.sedgeroad.peer;

/**
 * Asks for the objects of a kind above a version; the answer is a {@link ConfigurationDelta}.
 *
 * @param kind kind
 * @param aboveVersion version up to which the sender holds everything, below 0 for nothing
 */
public record ConfigurationPull(String kind, long aboveVersion) implements PeerMessage {}
