package org.sedgeroad.gateway;

import java.nio.ByteBuffer;

/** Where the answer to a client's request goes. Used on the event loop; no call blocks. */
public interface ClientAnswer {

  /** Starts an answer whose parts follow as they come. */
  void begin(EndpointAnswer head);

  /** Sends a part of a started answer; the buffer is copied. */
  void send(ByteBuffer bytes);

  /** Completes a started answer. */
  void end();

  /** Breaks a started answer off, so that it does not look complete. */
  void abort();

  /** Sends a whole answer. */
  void whole(EndpointAnswer head, byte[] body);

  /** Sends a refusal instead of an answer. */
  void refuse(Refusal refusal);
}
