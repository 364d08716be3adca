package org.sedgeroad.presence;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses encoded load messages. The names of endpoints and instances recur in a message, so
 * that a summary shrinks to less than half.
 */
final class MessageCompression {
  /**
   * Largest size of a message, in bytes: eight times the largest datagram. An invalid datagram must
   * not take all of the memory.
   */
  static final int MAXIMUM_BYTES = 512 * 1024;

  private static final int BUFFER_BYTES = 4 * 1024;

  private MessageCompression() {}

  static byte[] compress(byte[] bytes) {
    // Summaries are sent tens of times a second, so that speed counts more than the last tenth.
    Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
    try {
      deflater.setInput(bytes);
      deflater.finish();
      ByteArrayOutputStream compressed = new ByteArrayOutputStream(bytes.length / 2);
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        compressed.write(buffer, 0, deflater.deflate(buffer));
      }
      return compressed.toByteArray();
    } finally {
      deflater.end();
    }
  }

  /**
   * Returns the bytes that were compressed.
   *
   * @throws IOException if the bytes are damaged, or more than {@link #MAXIMUM_BYTES} result
   */
  static byte[] decompress(byte[] compressed) throws IOException {
    Inflater inflater = new Inflater(true);
    try {
      inflater.setInput(compressed);
      ByteArrayOutputStream bytes = new ByteArrayOutputStream(3 * compressed.length);
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!inflater.finished()) {
        int count = inflater.inflate(buffer);
        if (count == 0 && !inflater.finished()) {
          throw new IOException("the compressed message is incomplete");
        }
        bytes.write(buffer, 0, count);
        if (bytes.size() > MAXIMUM_BYTES) {
          throw new IOException("the message has more than " + MAXIMUM_BYTES + " bytes");
        }
      }
      return bytes.toByteArray();
    } catch (DataFormatException damaged) {
      throw new IOException("the compressed message is damaged", damaged);
    } finally {
      inflater.end();
    }
  }
}
