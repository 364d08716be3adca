package org.sedgeroad.command;

/**
 * Last known state of an entry instance.
 *
 * @param name name of the instance
 * @param domain failure domain of the instance
 * @param state text of the state, for example {@code live}
 */
public record InstanceStatus(String name, String domain, String state) {}
