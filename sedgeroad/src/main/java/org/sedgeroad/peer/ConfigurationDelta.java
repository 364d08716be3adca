package org.sedgeroad.peer;

import java.util.List;

/**
 * Configuration objects of one kind that changed above one version and up to another.
 *
 * <p>A receiver that holds everything up to {@code aboveVersion} holds everything up to {@code
 * completeVersion} once it has applied the objects. Any other receiver applies them and asks for
 * what it is missing.
 *
 * @param kind kind of the objects
 * @param aboveVersion version above which no change is left out
 * @param completeVersion version up to which no change is left out, below 0 if not known
 * @param objects the objects
 */
public record ConfigurationDelta(
    String kind, long aboveVersion, long completeVersion, List<ConfigurationItem> objects)
    implements PeerMessage {

  /** Copies the list. */
  public ConfigurationDelta {
    objects = List.copyOf(objects);
  }
}
