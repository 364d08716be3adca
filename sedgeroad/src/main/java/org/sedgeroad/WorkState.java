package org.sedgeroad;

/** Says whether refused or failed work ran at an endpoint. */
public enum WorkState {
  /** No endpoint can have started the work. */
  NOT_RUN("not-run"),
  /** An endpoint ran the work. */
  RAN("ran"),
  /** An endpoint may have started the work. */
  UNKNOWN("unknown");

  /** Name of the response header that carries the state. */
  public static final String HEADER = "X-Work";

  private final String text;

  WorkState(String text) {
    this.text = text;
  }

  /** Returns the form used in headers and JSON, for example {@code not-run}. */
  public String toText() {
    return text;
  }
}
