package org.sedgeroad.peer;

/**
 * A configuration object.
 *
 * @param name name of the object
 * @param version version in the store
 * @param spec content as JSON text, empty for a deletion
 */
public record ConfigurationItem(String name, long version, String spec) {}
