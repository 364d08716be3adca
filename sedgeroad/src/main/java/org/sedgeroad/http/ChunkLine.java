package org.sedgeroad.http;

/** The line before the data of a chunk (RFC 9112, section 7.1). */
final class ChunkLine {
  private static final int RADIX = 16;
  private static final long LARGEST_PREFIX = Long.MAX_VALUE / RADIX;

  private ChunkLine() {}

  /**
   * Returns the size of a chunk in bytes, 0 for the last one. Extensions are ignored.
   *
   * @throws InvalidAnswerException if the line does not begin with a hexadecimal number, holds
   *     something other than extensions after it, or the number is too large
   */
  static long parseSize(LineBuffer line) throws InvalidAnswerException {
    long size = 0;
    int index = 0;
    while (index < line.length() && hexDigit(line.at(index)) >= 0) {
      if (size > LARGEST_PREFIX) {
        throw new InvalidAnswerException("the size of a chunk is too large");
      }
      size = RADIX * size + hexDigit(line.at(index));
      index++;
    }
    if (index == 0 || !endsOrContinues(line, index)) {
      throw new InvalidAnswerException("the size of a chunk is not a number");
    }
    line.checkText(index);
    return size;
  }

  /** Returns whether the line ends at an index, or extensions begin there, perhaps after blanks. */
  private static boolean endsOrContinues(LineBuffer line, int start) {
    int index = start;
    while (index < line.length() && FieldLine.isBlank(line.at(index))) {
      index++;
    }
    return start == line.length() || index < line.length() && line.at(index) == ';';
  }

  /** Returns the value of a hexadecimal digit, -1 for another byte. */
  private static int hexDigit(int next) {
    return next < 128 ? Character.digit(next, RADIX) : -1;
  }
}
