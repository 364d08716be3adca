package org.sedgeroad.http;

/** Reasons why an exchange brought no whole answer. */
public sealed interface HttpFailure {

  /** Returns a description for logs and errors. */
  String reason();

  /**
   * The connection could not be opened; no byte of the request was sent.
   *
   * @param reason description
   */
  record NotSent(String reason) implements HttpFailure {}

  /**
   * The exchange broke after a byte of the request may have been sent.
   *
   * @param reason description
   */
  record Broken(String reason) implements HttpFailure {}
}
