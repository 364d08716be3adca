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
   * Returns the largest body that the listener takes, in bytes. The exchange fails, and its
   * connection is closed, if there is more.
   */
  default long maximumBodyBytes() {
    return Long.MAX_VALUE;
  }

  /**
   * Returns whether the connection may serve another request after this answer. Called at the end
   * of the answer.
   */
  default boolean allowsReuse() {
    return true;
  }

  /** Receives a part of the body. The buffer is valid only during the call. */
  void onBytes(ByteBuffer bytes);

  /** Called once the whole answer has been received. */
  void onEnd();

  /** Called if the exchange ended without a whole answer. */
  void onFailure(HttpFailure failure);
}
