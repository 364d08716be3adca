package org.sedgeroad.peer;

import java.util.Optional;

/**
 * A frame between two instances.
 *
 * @param kind kind of the frame
 * @param number protocol version in a greeting, request number in a request and its answer, 0 in a
 *     one-way message
 * @param sender name of the sender in a greeting, else empty
 * @param type type number of the message, 0 if there is none
 * @param message the message, empty if there is none or its type is unknown
 */
record Frame(Kind kind, long number, String sender, int type, Optional<PeerMessage> message) {
  /** Kinds of frames. The ordinal is written to the wire, so the order must not change. */
  enum Kind {
    /** The first frame on a connection, with protocol version and name of the sender. */
    GREETING,
    /** A message without an answer. */
    ONE_WAY,
    /** A message that is answered under the same number. */
    REQUEST,
    /** An answer; it has no message if the request could not be handled. */
    ANSWER
  }

  static Frame greeting(String sender) {
    return new Frame(Kind.GREETING, FrameCodec.PROTOCOL_VERSION, sender, 0, Optional.empty());
  }

  static Frame of(Kind kind, long number, PeerMessage message) {
    return new Frame(kind, number, "", MessageCodecs.typeOf(message), Optional.of(message));
  }

  static Frame emptyAnswer(long number) {
    return new Frame(Kind.ANSWER, number, "", 0, Optional.empty());
  }
}
