package org.sedgeroad.http;

import java.nio.ByteBuffer;

/**
 * Receives the parts of one answer in order. The methods usually run on an I/O thread and must not
 * block. The last call is exactly one of {@link #onEnd} and {@link #onFailure}.
 */
public interface HttpListener {

  /** Receives the status line and headers. */
  void onHead(HttpHead head);

  /**
   * Returns whether the listener takes more of the body; otherwise the exchange fails and its
   * connection is closed.
   *
   * @param moreBytes number of bytes that have arrived
   */
  default boolean accepts(int moreBytes) {
    return true;
  }

  /** Receives a part of the body. The buffer is valid only during the call. */
  void onBytes(ByteBuffer bytes);

  /** Called once the whole answer has been received. */
  void onEnd();

  /** Called if the exchange ended without a whole answer. */
  void onFailure(HttpFailure failure);
}
