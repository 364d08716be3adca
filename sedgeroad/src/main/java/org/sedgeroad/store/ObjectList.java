package org.sedgeroad.store;

import java.util.List;

/**
 * Result of a list call.
 *
 * @param version store version at which the list was taken; a watch continues from it
 * @param objects the objects in name order
 */
public record ObjectList(long version, List<StoredObject> objects) {

  /** Copies the list. */
  public ObjectList {
    objects = List.copyOf(objects);
  }
}
