package org.sedgeroad.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A bounded queue of frames to one peer; a full queue drops its oldest one-way frame. Thread-safe.
 */
final class SendQueue {
  private static final int MAXIMUM_FRAMES = 512;
  private static final int MAXIMUM_BYTES = 4 << 20;

  /** Outcome of a write to the channel. */
  enum Progress {
    /** The queue is empty. */
    ALL_WRITTEN,
    /** Some bytes were written, others are left. */
    SOME_WRITTEN,
    /** No byte was written. */
    NONE_WRITTEN
  }

  private final ArrayDeque<OutgoingFrame> frames = new ArrayDeque<>();
  private int bytes;

  /**
   * Adds a frame.
   *
   * @return the frame that was dropped, empty if none was. If dropping the oldest one-way frame
   *     does not make enough room, the given frame is dropped as well and returned instead.
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

  /** Adds a frame in front of all others, whatever the size of the queue. */
  synchronized void addFirst(OutgoingFrame frame) {
    frames.addFirst(frame);
    bytes += frame.length();
  }

  /**
   * Writes as many bytes as the channel accepts and passes on each frame that is written
   * completely.
   */
  synchronized Progress writeTo(WritableByteChannel channel, Consumer<OutgoingFrame> written)
      throws IOException {
    boolean anyWritten = false;
    while (!frames.isEmpty()) {
      OutgoingFrame first = frames.getFirst();
      ByteBuffer buffer = first.buffer();
      anyWritten |= channel.write(buffer) > 0;
      if (buffer.hasRemaining()) {
        return anyWritten ? Progress.SOME_WRITTEN : Progress.NONE_WRITTEN;
      }
      frames.removeFirst();
      bytes -= first.length();
      written.accept(first);
    }
    return Progress.ALL_WRITTEN;
  }

  synchronized boolean isEmpty() {
    return frames.isEmpty();
  }

  synchronized void clear() {
    frames.clear();
    bytes = 0;
  }

  private Optional<OutgoingFrame> removeOldestOneWay() {
    for (Iterator<OutgoingFrame> iterator = frames.iterator(); iterator.hasNext(); ) {
      OutgoingFrame frame = iterator.next();
      // A partly written frame must be completed, or the receiver can't find the start of the next
      // one.
      if (frame.kind() == Frame.Kind.ONE_WAY && frame.buffer().position() == 0) {
        iterator.remove();
        bytes -= frame.length();
        return Optional.of(frame);
      }
    }
    return Optional.empty();
  }
}
