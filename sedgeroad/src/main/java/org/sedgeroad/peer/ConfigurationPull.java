package org.sedgeroad.peer;

/**
 * Asks for the objects of a kind above a version; the answer is a {@link ConfigurationDelta}.
 *
 * @param kind kind
 * @param aboveVersion highest version that the sender holds completely, 0 for none
 */
public record ConfigurationPull(String kind, long aboveVersion) implements PeerMessage {}
