package org.sedgeroad.command;

/**
 * What is known of an entry instance.
 *
 * @param name name of the instance
 * @param domain failure domain
 * @param state state in words, for example {@code live}
 */
public record InstanceStatus(String name, String domain, String state) {}
