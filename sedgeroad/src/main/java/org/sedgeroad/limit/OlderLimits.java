package org.sedgeroad.limit;

/**
 * Values of a member's limits before the current ones.
 *
 * @param version store version of the limits with these values
 * @param values the values
 */
public record OlderLimits(long version, LimitValues values) {}
