package org.sedgeroad.peer;

import java.util.Optional;

/**
 * Content of one frame between two instances.
 *
 * @param kind what the frame is
 * @param number protocol version of a greeting, else number that ties an answer to its request
 * @param sender name of the sender in a greeting, else empty
 * @param type type number of the message, 0 if there is none
 * @param message the message, empty if there is none or its type is not known
 */
record Frame(Kind kind, long number, String sender, int type, Optional<PeerMessage> message) {
  /** Kinds of frames in the order of their numbers. */
  enum Kind {
    /** First frame of a connection: protocol version and name of the sender. */
    GREETING,
    /** Message without an answer. */
    ONE_WAY,
    /** Message that is answered with the same number. */
    REQUEST,
    /** Answer; without a message if the request could not be handled. */
    ANSWER
  }

  static Frame greeting(String sender) {
    return new Frame(Kind.GREETING, FrameCodec.PROTOCOL_VERSION, sender, 0, Optional.empty());
  }

  static Frame of(Kind kind, long number, PeerMessage message) {
    return new Frame(kind, number, "", MessageCodecs.typeOf(message), Optional.of(message));
  }

  static Frame withoutAnswer(long number) {
    return new Frame(Kind.ANSWER, number, "", 0, Optional.empty());
  }
}
