package org.sedgeroad.gateway;

import java.nio.ByteBuffer;
import org.sedgeroad.http.HttpFailure;

/**
 * Receives one endpoint's answer in order, on the event loop. Exactly one of {@link #onEnd} and
 * {@link #onFailure} is called, last.
 */
public interface EndpointListener {

  /** Receives the head. */
  void onAnswer(EndpointAnswer answer);

  /** Receives a part of the body; the buffer is valid only during the call. */
  void onBytes(ByteBuffer bytes);

  /** Receives the end of a whole answer. */
  void onEnd();

  /** Receives the reason why no whole answer came. */
  void onFailure(HttpFailure failure);
}
