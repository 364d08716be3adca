package org.sedgeroad.peer;

/**
 * Requests the objects of a kind above a version; the answer is a {@link ConfigurationDelta}.
 *
 * @param kind kind of the objects
 * @param aboveVersion version up to which the sender holds everything, below 0 if it holds nothing
 */
public record ConfigurationPull(String kind, long aboveVersion) implements PeerMessage {}
