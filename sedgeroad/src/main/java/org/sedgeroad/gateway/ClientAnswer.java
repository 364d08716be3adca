package org.sedgeroad.gateway;

import java.nio.ByteBuffer;

/** Sends the answer to a client's request. Used on the event loop; no call blocks. */
public interface ClientAnswer {

  /** Starts an answer with the given status and headers; its body is sent with {@link #send}. */
  void begin(EndpointAnswer head);

  /** Sends a part of the body of a started answer; the buffer is copied. */
  void send(ByteBuffer bytes);

  /** Returns the number of bytes of the answer that the client has not taken yet. */
  default long unsentBytes() {
    return 0;
  }

  /** Completes a started answer. */
  void end();

  /** Aborts a started answer in such a way that the client recognizes it as incomplete. */
  void abort();

  /** Sends a complete answer with the given status, headers and body. */
  void sendComplete(EndpointAnswer head, byte[] body);

  /** Sends a refusal instead of an endpoint's answer. */
  void refuse(Refusal refusal);
}
