package org.sedgeroad.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the bytes of a line, which may arrive in parts of any size. Not thread-safe. */
final class LineBuffer {
  private static final int INITIAL_BYTES = 256;

  /** Size beyond which the buffer is not kept for the next line, in bytes. */
  private static final int LARGEST_KEPT_BYTES = 4 * 1024;

  private static final int DELETE = 0x7f;

  private byte[] bytes = new byte[INITIAL_BYTES];
  private int length;

  /**
   * Takes bytes up to and including the end of the line.
   *
   * @param source bytes that were received; what follows the line remains in it
   * @param maximumBytes longest line, including its end
   * @return whether the line is complete
   * @throws InvalidAnswerException if the line is too long or does not end with CR LF
   */
  boolean collect(ByteBuffer source, int maximumBytes) throws InvalidAnswerException {
    while (source.hasRemaining()) {
      int count = Math.min(source.remaining(), INITIAL_BYTES);
      reserve(count);
      source.get(source.position(), bytes, length, count);
      int taken = takeLine(count);
      source.position(source.position() + taken);
      if (length > maximumBytes) {
        throw new InvalidAnswerException("a line is too long");
      }
      if (bytes[length - 1] == '\n') {
        removeLineEnd();
        return true;
      }
    }
    return false;
  }

  /** Takes the copied bytes up to the end of the line; returns their number. */
  private int takeLine(int count) {
    for (int index = 0; index < count; index++) {
      if (bytes[length + index] == '\n') {
        length += index + 1;
        return index + 1;
      }
    }
    length += count;
    return count;
  }

  private void reserve(int count) {
    if (bytes.length - length < count) {
      bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, length + count));
    }
  }

  private void removeLineEnd() throws InvalidAnswerException {
    if (length < 2 || bytes[length - 2] != '\r') {
      throw new InvalidAnswerException("a line does not end with CR LF");
    }
    length -= 2;
  }

  /** Returns the number of bytes of the line, without its end. */
  int length() {
    return length;
  }

  /** Returns a byte of the line, from 0 to 255. */
  int at(int index) {
    return bytes[index] & 0xff;
  }

  /** Returns a part of the line; each byte is one character. */
  String text(int start, int end) {
    return new String(bytes, start, end - start, StandardCharsets.ISO_8859_1);
  }

  /**
   * Checks that the line holds no control bytes, except tabs.
   *
   * @param start index of the first byte that is checked
   * @throws InvalidAnswerException if it does
   */
  void checkText(int start) throws InvalidAnswerException {
    for (int index = start; index < length; index++) {
      int next = at(index);
      if (next < ' ' && next != '\t' || next == DELETE) {
        throw new InvalidAnswerException("a line has a control byte");
      }
    }
  }

  /** Starts a new line. */
  void clear() {
    length = 0;
    if (bytes.length > LARGEST_KEPT_BYTES) {
      bytes = new byte[INITIAL_BYTES];
    }
  }
}
