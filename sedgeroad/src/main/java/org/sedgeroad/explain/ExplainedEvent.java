package org.sedgeroad.explain;

import java.util.Objects;

/**
 * An event in an explanation and its relation to the id that the explanation is about. No component
 * may be null.
 *
 * @param event the event
 * @param relation relation of the event to that id
 */
public record ExplainedEvent(LoggedEvent event, Relation relation) {

  /** The relation of an event to the id that the explanation is about. */
  public enum Relation {
    /** The event is about the request, the item, or the job and its items. */
    OWN,
    /** The event is about an instance that handled the request. */
    INSTANCE,
    /** The event is about an endpoint that the request was sent to. */
    ENDPOINT
  }

  /** Checks that no component is null. */
  public ExplainedEvent {
    Objects.requireNonNull(event);
    Objects.requireNonNull(relation);
  }
}
