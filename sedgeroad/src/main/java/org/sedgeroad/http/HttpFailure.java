package org.sedgeroad.http;

import java.io.IOException;

/** Reasons why an exchange brought no whole answer. */
public sealed interface HttpFailure {

  /** The client is closing; its I/O threads take no more work. */
  HttpFailure CLIENT_CLOSING = new NotSent("the client is closing");

  /** Returns a description for logs and errors. */
  String reason();

  /** Returns what is known of an exception; the library gives some no message. */
  static String describe(IOException failure) {
    return failure.getMessage() == null ? failure.getClass().getSimpleName() : failure.getMessage();
  }

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
