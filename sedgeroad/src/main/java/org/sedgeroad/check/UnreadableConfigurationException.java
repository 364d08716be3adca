package org.sedgeroad.check;

import java.util.Objects;

/** A configuration that can't be read at all. */
public final class UnreadableConfigurationException extends Exception {
  private static final long serialVersionUID = 1;

  private final String place;

  /**
   * Creates an exception; no argument may be null or contain text of the configuration.
   *
   * @param place line and column, empty for the whole file
   */
  public UnreadableConfigurationException(String place, String reason) {
    super(Objects.requireNonNull(reason));
    this.place = Objects.requireNonNull(place);
  }

  /** Returns line and column, empty for the whole file. */
  public String place() {
    return place;
  }
}
