package org.sedgeroad.peer;

/**
 * An instance with the state that this instance believes it to be in.
 *
 * @param instance name of the instance
 * @param domain its failure domain
 * @param state its state
 */
public record MemberStatus(String instance, String domain, MemberState state) {}
