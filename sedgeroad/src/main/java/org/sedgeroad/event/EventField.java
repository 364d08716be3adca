package org.sedgeroad.event;

/**
 * A named value of a log event.
 *
 * @param name field name, lower case with underscores
 * @param value value, written with {@link String#valueOf(Object)}
 */
public record EventField(String name, Object value) {

  /** Returns a field. */
  public static EventField of(String name, Object value) {
    return new EventField(name, value);
  }
}
