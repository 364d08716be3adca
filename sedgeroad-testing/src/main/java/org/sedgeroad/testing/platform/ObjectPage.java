package org.sedgeroad.testing.platform;

import java.util.List;
import org.sedgeroad.store.StoredObject;

/**
 * A page of a list of objects, in order of their names.
 *
 * @param version store version at which the page was read
 * @param objects the objects of the page
 * @param last whether this is the last page
 */
record ObjectPage(long version, List<StoredObject> objects, boolean last) {}
