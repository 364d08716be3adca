package org.sedgeroad.presence;

/**
 * Position of the newest message of one sender, used to recognise messages that are repeated, late
 * or sent by an earlier process of the sender. Immutable.
 *
 * @param incarnation number of the sender's process
 * @param sequence number of its newest message
 * @param previousIncarnation number of the previous process, or of this process if no previous one
 *     is known
 */
record MessageOrder(long incarnation, long sequence, long previousIncarnation) {
  /** Returns the position of the first message of a sender. */
  static MessageOrder first(long incarnation, long sequence) {
    return new MessageOrder(incarnation, sequence, incarnation);
  }

  /** Returns whether a message is newer than the newest one. */
  boolean isNewer(long otherIncarnation, long otherSequence) {
    // Incarnations are random, so a new process may have a lower one than the previous process.
    // They are compared for equality only.
    return otherIncarnation == incarnation
        ? otherSequence > sequence
        : otherIncarnation != previousIncarnation;
  }

  /** Returns the position after a newer message. */
  MessageOrder after(long otherIncarnation, long otherSequence) {
    return new MessageOrder(
        otherIncarnation,
        otherSequence,
        otherIncarnation == incarnation ? previousIncarnation : incarnation);
  }
}
