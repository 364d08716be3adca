package org.sedgeroad.testing.platform;

import java.util.List;
import org.sedgeroad.store.StoredObject;

/**
 * Part of a list in name order.
 *
 * @param version store version at which the part was read
 * @param objects the objects
 * @param last whether no object follows
 */
record ObjectPage(long version, List<StoredObject> objects, boolean last) {}
