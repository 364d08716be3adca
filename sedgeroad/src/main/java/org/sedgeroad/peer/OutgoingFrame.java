package org.sedgeroad.peer;

import java.nio.ByteBuffer;

/**
 * An encoded frame that is to be sent to a peer.
 *
 * @param kind kind of the frame
 * @param number number of the request, 0 if there is none; the protocol version for a greeting
 * @param messageClass name under which the traffic counters count the frame
 * @param buffer the bytes that are still to be written
 * @param length length of the whole frame in bytes
 */
record OutgoingFrame(
    Frame.Kind kind, long number, String messageClass, ByteBuffer buffer, int length) {

  static OutgoingFrame of(Frame frame) {
    ByteBuffer buffer = FrameCodec.encode(frame);
    return new OutgoingFrame(
        frame.kind(), frame.number(), classOf(frame), buffer, buffer.remaining());
  }

  /** Returns the simple class name of a frame's message, or a fixed name if there is none. */
  static String classOf(Frame frame) {
    return frame
        .message()
        .map(message -> message.getClass().getSimpleName())
        .orElse(frame.kind() == Frame.Kind.GREETING ? "Greeting" : "Unknown");
  }
}
