package org.sedgeroad.limit;

/**
 * Limits that were in force before the current ones.
 *
 * @param version store version at which they were voted
 * @param values the values
 */
public record OlderLimits(long version, LimitValues values) {}
