package org.sedgeroad.engine;

import org.sedgeroad.http.HttpHead;

/**
 * Receives the answer to one call on an I/O thread. Must not block. Exactly one of {@link
 * #onComplete} and {@link #onFailure} is called, as the last call.
 */
public interface EngineListener {

  /** Receives the status and headers; not called for the answer of a draining endpoint. */
  void onHead(HttpHead head);

  /** Receives the data of one server-sent event, other than the end marker of the stream. */
  void onEvent(String data);

  /** Called at the end of a complete answer, with its body, which is empty for an event stream. */
  void onComplete(byte[] body);

  /** Called if no complete answer was received. */
  void onFailure(EngineFailure failure);
}
