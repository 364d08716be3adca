package org.sedgeroad.peer;

/**
 * One configuration object.
 *
 * @param name name
 * @param version store version
 * @param spec content as JSON text, empty for a deletion
 */
public record ConfigurationItem(String name, long version, String spec) {}
