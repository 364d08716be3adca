package org.sedgeroad.peer;

import java.util.List;

/**
 * Changed configuration objects.
 *
 * @param objects the objects
 */
public record ConfigurationDelta(List<ConfigurationItem> objects) implements PeerMessage {

  /** Copies the list. */
  public ConfigurationDelta {
    objects = List.copyOf(objects);
  }
}
