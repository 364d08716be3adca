package org.sedgeroad.batch;

import java.util.Map;

/** Sizes of the JSON form of parts of a job in UTF-8, in bytes. */
final class JsonSize {
  /** Field names and punctuation of a result, and the comma after it. */
  private static final int RESULT_FRAME_BYTES = 40;

  /** Field names, punctuation and number of tokens of an item, and the comma after it. */
  private static final int ITEM_FRAME_BYTES = 80;

  private static final int ESCAPED_CHARACTER_BYTES = 2;
  private static final int ESCAPED_CODE_UNIT_BYTES = 6;

  private JsonSize() {}

  /** Returns an upper bound of the size of a result, at most 20 bytes above it. */
  static long of(JobResult result) {
    return RESULT_FRAME_BYTES + of(result.id()) + of(result.output());
  }

  /** Returns an upper bound of the size of an item, at most 40 bytes above it. */
  static long of(ItemSpec item) {
    long size = ITEM_FRAME_BYTES + of(item.id()) + of(item.target()) + of(item.body());
    for (Map.Entry<String, String> header : item.headers().entrySet()) {
      size += of(header.getKey()) + of(header.getValue()) + 2;
    }
    return size;
  }

  /** Returns the size of a string with its quotes. */
  static long of(String text) {
    long size = 2;
    for (int index = 0; index < text.length(); index++) {
      size += of(text.charAt(index));
    }
    return size;
  }

  private static int of(char character) {
    if (character < ' ') {
      boolean hasShortForm = "\b\t\n\f\r".indexOf(character) >= 0;
      return hasShortForm ? ESCAPED_CHARACTER_BYTES : ESCAPED_CODE_UNIT_BYTES;
    }
    if (character == '"' || character == '\\') {
      return ESCAPED_CHARACTER_BYTES;
    }
    if (character < 0x80) {
      return 1;
    }
    if (Character.isSurrogate(character)) {
      return ESCAPED_CODE_UNIT_BYTES;
    }
    return character < 0x800 ? 2 : 3;
  }
}
