package org.sedgeroad.store;

import java.util.List;

/**
 * Result of a list call.
 *
 * @param version store version from which a watch delivers all changes that the list may lack
 * @param objects objects in name order, not null
 */
public record ObjectList(long version, List<StoredObject> objects) {

  /** Copies the list. */
  public ObjectList {
    objects = List.copyOf(objects);
  }
}
