package org.sedgeroad.event;

/**
 * A field of a log event.
 *
 * @param name name in lower case with underscores
 * @param value value, logged as {@link String#valueOf(Object)}; may be null
 */
public record EventField(String name, Object value) {

  /** Returns a field. */
  public static EventField of(String name, Object value) {
    return new EventField(name, value);
  }
}
