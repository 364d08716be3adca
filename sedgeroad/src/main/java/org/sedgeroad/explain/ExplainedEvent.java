package org.sedgeroad.explain;

import java.util.Objects;

/**
 * An event and why it is part of an explanation. No component may be null.
 *
 * @param event the event
 * @param relation what it has to do with the id
 */
public record ExplainedEvent(LoggedEvent event, Relation relation) {

  /** What an event has to do with the id that is explained. */
  public enum Relation {
    /** It is about the request, the item, or the job and its items. */
    OWN,
    /** It is about an instance that handled the request. */
    INSTANCE,
    /** It is about an endpoint that the request was sent to. */
    ENDPOINT
  }

  /** Checks that no component is null. */
  public ExplainedEvent {
    Objects.requireNonNull(event);
    Objects.requireNonNull(relation);
  }
}
