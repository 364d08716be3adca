package org.sedgeroad.http;

import java.io.IOException;

/** Bytes that a server sent are not a valid answer. The message contains none of them. */
final class InvalidAnswerException extends IOException {
  private static final long serialVersionUID = 1L;

  InvalidAnswerException(String reason) {
    super("invalid answer: " + reason);
  }
}
