package org.sedgeroad.peer;

/**
 * One configuration object.
 *
 * @param kind kind
 * @param name name
 * @param version store version
 * @param spec content as JSON text, empty for a deletion
 */
public record ConfigurationItem(String kind, String name, long version, String spec) {}
