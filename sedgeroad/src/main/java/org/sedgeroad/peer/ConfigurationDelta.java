package org.sedgeroad.peer;

import java.util.List;

/**
 * The configuration objects of one kind that changed after one version and up to another.
 *
 * <p>A receiver that holds everything up to {@code aboveVersion} holds everything up to {@code
 * completeVersion} once it has applied the objects. Any other receiver applies them and requests
 * what it lacks.
 *
 * @param kind kind of the objects
 * @param aboveVersion version above which no change is missing
 * @param completeVersion version up to which no change is missing, below 0 if unknown
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
