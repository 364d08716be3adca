package org.sedgeroad.peer;

/**
 * An instance and its state as seen by this one.
 *
 * @param instance name of the instance
 * @param domain failure domain of the instance
 * @param state state of the instance
 */
public record MemberStatus(String instance, String domain, MemberState state) {}
