package org.sedgeroad.testing.platform;

import org.sedgeroad.store.StoredObject;

/**
 * A change of an object as watches report it. No component may be null.
 *
 * @param type {@code ADDED}, {@code MODIFIED} or {@code DELETED}
 * @param object the object after the write; for a deletion, the last content with the version of
 *     the deletion
 */
record Change(String type, StoredObject object) {}
