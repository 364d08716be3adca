package org.sedgeroad;

/** Whether an endpoint has run a request that was refused or failed. */
public enum WorkState {
  /** No endpoint can have started the request. */
  NOT_RUN("not-run"),
  /** An endpoint ran the request. */
  RAN("ran"),
  /** An endpoint may have started the request. */
  UNKNOWN("unknown");

  /** Name of the response header that carries the state. */
  public static final String HEADER = "X-Work";

  private final String text;

  WorkState(String text) {
    this.text = text;
  }

  /** Returns the value used in headers and JSON, for example {@code not-run}. */
  public String toText() {
    return text;
  }
}
