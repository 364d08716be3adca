package org.sedgeroad.live;

import java.io.IOException;

/**
 * Receives the answer to a live request and passes it to the caller. Used by one thread; methods
 * may block.
 */
public interface AnswerSink {

  /**
   * Sends one event of a stream. Before the first event, the response head is sent.
   *
   * @throws IOException if the caller has disconnected
   */
  void sendEvent(String data) throws IOException;

  /**
   * Ends a stream with its end marker.
   *
   * @throws IOException if the caller has disconnected
   */
  void endStream() throws IOException;

  /**
   * Sends a complete answer that is not streamed.
   *
   * @throws IOException if the caller has disconnected
   */
  void sendComplete(int status, String contentType, byte[] body) throws IOException;

  /**
   * Ends the answer with a failure, which is sent as an error event if events were sent before.
   *
   * @throws IOException if the caller has disconnected
   */
  void fail(LiveFailure failure) throws IOException;
}
