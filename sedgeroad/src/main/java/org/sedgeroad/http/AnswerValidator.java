package org.sedgeroad.http;

import java.nio.ByteBuffer;

/**
 * Validates the bytes of the answers on a connection, as a strict recipient (RFC 9112). The bytes
 * may arrive in parts of any size. Not thread-safe.
 */
final class AnswerValidator {
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final String CHUNK_END = "\r\n";

  private final LineBuffer line = new LineBuffer();
  private State state = State.STATUS_LINE;
  private AnswerHead head = new AnswerHead();
  private boolean toHead;

  /** Bytes of the body, of a chunk or of the end of a chunk that have not been received. */
  private long remaining;

  /** Whether bytes were received after the answer. */
  private boolean bytesAfterEnd;

  /** What the next byte is a part of. */
  private enum State {
    STATUS_LINE,
    FIELDS,
    /** A body of known length. */
    BODY,
    /** A body that ends with its connection. */
    UNFRAMED_BODY,
    CHUNK_SIZE,
    CHUNK_DATA,
    /** The end of line after the data of a chunk. */
    CHUNK_END,
    TRAILERS,
    /** Nothing that belongs to the answer. */
    END
  }

  /**
   * Expects the answer to a request that will be sent.
   *
   * @param method method of the request; an answer to {@code HEAD} has no body
   */
  void beginAnswer(String method) {
    toHead = method.equals("HEAD");
    bytesAfterEnd = false;
    beginHead();
  }

  /** Returns whether bytes were received that belong to no answer. */
  boolean hasBytesAfterEnd() {
    return bytesAfterEnd;
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
      switch (state) {
        case BODY, CHUNK_DATA -> skipData(bytes);
        case UNFRAMED_BODY -> bytes.position(bytes.limit());
        case END -> {
          bytesAfterEnd = true;
          bytes.position(bytes.limit());
        }
        case CHUNK_END -> acceptChunkEnd(bytes.get());
        default -> {
          if (line.collect(bytes, HttpAttempt.MAXIMUM_HEAD_BYTES)) {
            endLine();
            line.clear();
          }
        }
      }
    }
  }

  private void skipData(ByteBuffer bytes) {
    int count = (int) Math.min(remaining, bytes.remaining());
    bytes.position(bytes.position() + count);
    remaining -= count;
    if (remaining == 0 && state == State.CHUNK_DATA) {
      state = State.CHUNK_END;
      remaining = CHUNK_END.length();
    } else if (remaining == 0) {
      state = State.END;
    }
  }

  private void acceptChunkEnd(byte next) throws InvalidAnswerException {
    if (next != CHUNK_END.charAt(CHUNK_END.length() - (int) remaining)) {
      throw new InvalidAnswerException("a chunk does not end after its size");
    }
    remaining--;
    if (remaining == 0) {
      state = State.CHUNK_SIZE;
    }
  }

  private void endLine() throws InvalidAnswerException {
    switch (state) {
      case STATUS_LINE -> {
        head.addStatusLine(line);
        state = State.FIELDS;
      }
      case CHUNK_SIZE -> {
        remaining = ChunkLine.parseSize(line);
        state = remaining == 0 ? State.TRAILERS : State.CHUNK_DATA;
      }
      case TRAILERS -> {
        if (line.length() == 0) {
          state = State.END;
        } else {
          FieldLine.parse(line);
        }
      }
      default -> {
        if (line.length() == 0) {
          endHead();
        } else {
          head.addField(line);
        }
      }
    }
  }

  private void endHead() throws InvalidAnswerException {
    if (head.status() < FIRST_FINAL_STATUS) {
      beginHead();
    } else if (toHead || head.status() == NOT_MODIFIED) {
      state = State.END;
    } else if (head.status() == NO_CONTENT) {
      endHeadWithoutContent();
    } else if (head.isChunked()) {
      state = State.CHUNK_SIZE;
    } else if (head.contentLength() < 0) {
      state = State.UNFRAMED_BODY;
    } else {
      remaining = head.contentLength();
      state = remaining == 0 ? State.END : State.BODY;
    }
  }

  private void endHeadWithoutContent() throws InvalidAnswerException {
    if (head.isChunked() || head.contentLength() > 0) {
      throw new InvalidAnswerException("its status allows no body");
    }
    state = State.END;
  }
}
