package org.sedgeroad.check;

import java.util.Locale;

/** Severity of a finding, from the lowest to the highest. */
public enum Severity {
  /** A statement about the configuration, for example a difference from the version in force. */
  NOTE,
  /** The configuration can be served, but hardly does what its author intended. */
  WARNING,
  /** The configuration must not be sent. */
  ERROR;

  /** Returns the name in lower case. */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
