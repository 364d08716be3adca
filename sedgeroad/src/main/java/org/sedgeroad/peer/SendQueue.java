package org.sedgeroad.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.Consumer;

/** Bounded queue of frames to one peer; a full queue drops its oldest one-way frame. */
final class SendQueue {
  private static final int MAXIMUM_FRAMES = 512;
  private static final int MAXIMUM_BYTES = 4 << 20;

  /** Outcome of writing. */
  enum Progress {
    /** Nothing is left. */
    EMPTIED,
    /** Some bytes were written. */
    SOME,
    /** The channel took nothing. */
    NONE
  }

  private final ArrayDeque<OutgoingFrame> frames = new ArrayDeque<>();
  private int bytes;

  /**
   * Adds a frame.
   *
   * @return the frame that was dropped for it, which is the given one if nothing else can go
   */
  synchronized Optional<OutgoingFrame> add(OutgoingFrame frame) {
    Optional<OutgoingFrame> dropped = Optional.empty();
    if (frames.size() >= MAXIMUM_FRAMES || bytes + frame.length() > MAXIMUM_BYTES) {
      dropped = removeOldestOneWay();
      if (dropped.isEmpty() || bytes + frame.length() > MAXIMUM_BYTES) {
        return Optional.of(frame);
      }
    }
    frames.add(frame);
    bytes += frame.length();
    return dropped;
  }

  /** Puts a frame in front of all others. */
  synchronized void addFirst(OutgoingFrame frame) {
    frames.addFirst(frame);
    bytes += frame.length();
  }

  /** Writes as much as the channel takes and passes on each frame that is wholly written. */
  synchronized Progress writeTo(WritableByteChannel channel, Consumer<OutgoingFrame> written)
      throws IOException {
    boolean some = false;
    while (!frames.isEmpty()) {
      OutgoingFrame first = frames.getFirst();
      ByteBuffer buffer = first.buffer();
      some |= channel.write(buffer) > 0;
      if (buffer.hasRemaining()) {
        return some ? Progress.SOME : Progress.NONE;
      }
      frames.removeFirst();
      bytes -= first.length();
      written.accept(first);
    }
    return Progress.EMPTIED;
  }

  synchronized boolean isEmpty() {
    return frames.isEmpty();
  }

  synchronized void clear() {
    frames.clear();
    bytes = 0;
  }

  private Optional<OutgoingFrame> removeOldestOneWay() {
    for (Iterator<OutgoingFrame> all = frames.iterator(); all.hasNext(); ) {
      OutgoingFrame frame = all.next();
      // A frame that is partly written must be finished, or the receiver loses its place.
      if (frame.kind() == Frame.Kind.ONE_WAY && frame.buffer().position() == 0) {
        all.remove();
        bytes -= frame.length();
        return Optional.of(frame);
      }
    }
    return Optional.empty();
  }
}
