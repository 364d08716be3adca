package org.sedgeroad.http;

import java.nio.ByteBuffer;

/**
 * Validates the bytes of the answers on a connection, as a strict recipient (RFC 9112). The bytes
 * may arrive in parts of any size. Not thread-safe.
 */
final class AnswerValidator {
  private static final int FIRST_FINAL_STATUS = 200;

  private final LineBuffer line = new LineBuffer();
  private State state = State.STATUS_LINE;
  private AnswerHead head = new AnswerHead();

  /** What the next byte is a part of. */
  private enum State {
    STATUS_LINE,
    FIELDS,
    BODY
  }

  /** Expects the answer to a request that will be sent. */
  void beginAnswer() {
    beginHead();
  }

  private void beginHead() {
    state = State.STATUS_LINE;
    head = new AnswerHead();
    line.clear();
  }

  /**
   * Validates bytes that were received.
   *
   * @param bytes bytes after those that were validated before; the position is moved to the limit
   * @throws InvalidAnswerException if the answer is not valid; its connection must be closed
   */
  void accept(ByteBuffer bytes) throws InvalidAnswerException {
    while (bytes.hasRemaining()) {
      if (state == State.BODY) {
        bytes.position(bytes.limit());
      } else if (line.collect(bytes, HttpAttempt.MAXIMUM_HEAD_BYTES)) {
        endLine();
        line.clear();
      }
    }
  }

  private void endLine() throws InvalidAnswerException {
    if (state == State.STATUS_LINE) {
      head.addStatusLine(line);
      state = State.FIELDS;
    } else if (line.length() > 0) {
      head.addField(line);
    } else if (head.status() < FIRST_FINAL_STATUS) {
      beginHead();
    } else {
      state = State.BODY;
    }
  }
}
