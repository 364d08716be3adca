package org.sedgeroad.check;

import java.util.Objects;

/**
 * A result of a check. No component is null or contains a key.
 *
 * @param severity severity
 * @param place path in the document, for example {@code routes[2].timeoutMillis}; empty for the
 *     whole document
 * @param reason what was found and what its effect is
 */
public record Finding(Severity severity, String place, String reason) {

  /** Checks that no component is null. */
  public Finding {
    Objects.requireNonNull(severity);
    Objects.requireNonNull(place);
    Objects.requireNonNull(reason);
  }

  static Finding error(String place, String reason) {
    return new Finding(Severity.ERROR, place, reason);
  }

  static Finding warning(String place, String reason) {
    return new Finding(Severity.WARNING, place, reason);
  }

  static Finding note(String place, String reason) {
    return new Finding(Severity.NOTE, place, reason);
  }
}
