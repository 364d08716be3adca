package org.sedgeroad.live;

import java.io.IOException;

/** Where the answer to a live request goes. Used by one thread; calls may block. */
public interface AnswerSink {

  /**
   * Sends one event of a stream, and before the first one the head.
   *
   * @throws IOException if the caller is gone
   */
  void event(String data) throws IOException;

  /**
   * Ends a stream with its end marker.
   *
   * @throws IOException if the caller is gone
   */
  void endStream() throws IOException;

  /**
   * Sends a whole answer.
   *
   * @throws IOException if the caller is gone
   */
  void whole(int status, String contentType, byte[] body) throws IOException;

  /**
   * Ends the answer with a failure, as an error event if events were sent before.
   *
   * @throws IOException if the caller is gone
   */
  void fail(LiveFailure failure) throws IOException;
}
