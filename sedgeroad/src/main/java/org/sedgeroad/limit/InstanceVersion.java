package org.sedgeroad.limit;

/**
 * Version of a member's limits that one instance applies.
 *
 * @param instance name of the instance
 * @param version version of the limits that it has applied, at most the version reported on
 * @param inForce whether it applies the version reported on
 */
public record InstanceVersion(String instance, long version, boolean inForce) {}
