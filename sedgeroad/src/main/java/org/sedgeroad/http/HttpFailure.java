package org.sedgeroad.http;

import java.io.IOException;

/** The reason why an exchange ended without a whole answer. */
public sealed interface HttpFailure {

  /** The client is closing, and its I/O threads accept no more work. */
  HttpFailure CLIENT_CLOSING = new NotSent("the client is closing");

  /** Returns a description for logs and error messages. */
  String reason();

  /**
   * Returns the message of an exception, or its class name if it has no message, as is the case
   * with some exceptions of Undertow.
   */
  static String describe(IOException failure) {
    return failure.getMessage() == null ? failure.getClass().getSimpleName() : failure.getMessage();
  }

  /**
   * No byte of the request was sent, for example because the connection could not be opened.
   *
   * @param reason description of the cause
   */
  record NotSent(String reason) implements HttpFailure {}

  /**
   * The exchange failed after a byte of the request may have been sent.
   *
   * @param reason description of the cause
   */
  record Broken(String reason) implements HttpFailure {}
}
