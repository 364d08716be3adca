package org.sedgeroad.engine;

import org.sedgeroad.http.HttpHead;

/**
 * Receives one answer of an endpoint from an I/O thread; must not block. Exactly one of {@link
 * #onWhole} and {@link #onFailure} is called, last.
 */
public interface EngineListener {

  /** Receives status and headers. */
  void onHead(HttpHead head);

  /** Receives the data of one server-sent event, without the end marker. */
  void onEvent(String data);

  /** Receives the end of a whole answer; the body is empty for a stream. */
  void onWhole(byte[] body);

  /** Receives the reason why no whole answer came. */
  void onFailure(EngineFailure failure);
}
