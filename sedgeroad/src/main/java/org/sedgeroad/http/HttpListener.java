package org.sedgeroad.http;

import java.nio.ByteBuffer;

/**
 * Receives the parts of one answer in order. Calls come from an I/O thread and must not block.
 * Exactly one of {@link #onEnd} and {@link #onFailure} is called, last.
 */
public interface HttpListener {

  /** Receives the status line and headers. */
  void onHead(HttpHead head);

  /** Receives a part of the body; the buffer is valid only during the call. */
  void onBytes(ByteBuffer bytes);

  /** Receives the end of a whole answer. */
  void onEnd();

  /** Receives the reason why no whole answer came. */
  void onFailure(HttpFailure failure);
}
