package org.sedgeroad.peer;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Assembles frames from received bytes. A frame is a 4-byte length followed by as many bytes of
 * content.
 */
final class FrameAssembler {
  /** Maximum content of a frame in bytes. */
  static final int MAXIMUM_LENGTH = 1 << 20;

  static final int HEADER_LENGTH = 4;

  /**
   * First allocation for a frame in bytes; the array grows only as bytes arrive, so that a peer
   * can't cause large allocations by announcing a length.
   */
  private static final int FIRST_ALLOCATION = 4_096;

  private final ByteBuffer header = ByteBuffer.allocate(HEADER_LENGTH);
  private byte[] content;
  private int length;
  private int filled;

  /**
   * Consumes all remaining bytes and passes on the content of each completed frame.
   *
   * @return false if a frame has an invalid length; the connection must then be closed
   */
  boolean accept(ByteBuffer bytes, Consumer<byte[]> frames) {
    while (bytes.hasRemaining()) {
      if (content == null) {
        while (header.hasRemaining() && bytes.hasRemaining()) {
          header.put(bytes.get());
        }
        if (header.hasRemaining()) {
          return true;
        }
        length = header.flip().getInt();
        header.clear();
        if (length < 1 || length > MAXIMUM_LENGTH) {
          return false;
        }
        content = new byte[Math.min(length, FIRST_ALLOCATION)];
        filled = 0;
      }
      fill(bytes);
      if (filled == length) {
        byte[] frame = content;
        content = null;
        frames.accept(frame);
      }
    }
    return true;
  }

  private void fill(ByteBuffer bytes) {
    int count = Math.min(bytes.remaining(), length - filled);
    if (filled + count > content.length) {
      content = Arrays.copyOf(content, Math.min(length, Math.max(filled + count, 2 * filled)));
    }
    bytes.get(content, filled, count);
    filled += count;
  }
}
