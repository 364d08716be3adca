package org.sedgeroad.gateway;

import java.nio.ByteBuffer;
import org.sedgeroad.http.HttpFailure;

/**
 * Receives the parts of one endpoint's answer in order, on the event loop. The last call is either
 * {@link #onEnd} or {@link #onFailure}.
 */
public interface EndpointAnswerListener {

  /** Receives the status and headers. */
  void onAnswer(EndpointAnswer answer);

  /**
   * Returns whether the rest of the body is needed. Otherwise, the connection is closed if the rest
   * is long.
   */
  default boolean needsBody() {
    return true;
  }

  /** Receives a part of the body; the buffer is valid only during the call. */
  void onBytes(ByteBuffer bytes);

  /**
   * Returns whether the answer, all of which has been received, is final: the request will not be
   * sent to the endpoint again under its id. Called before {@link #onEnd}. The connection is closed
   * after an answer that is not final, because a late copy of it would be taken for the answer to
   * the next sending.
   */
  default boolean isFinal() {
    return true;
  }

  /** Receives the end of a complete answer. */
  void onEnd();

  /** Receives the reason why there is no complete answer. */
  void onFailure(HttpFailure failure);
}
