package org.sedgeroad.check;

/** Quotes names from a document for use in findings. */
final class QuotedText {
  private static final int MAXIMUM_LENGTH = 80;

  private QuotedText() {}

  /**
   * Returns a name in quotation marks, shortened to 80 characters. Control characters are replaced,
   * because they could change the operator's terminal.
   */
  static String of(String name) {
    StringBuilder text = new StringBuilder("\"");
    name.codePoints()
        .limit(MAXIMUM_LENGTH)
        .map(point -> Character.isISOControl(point) || point == '"' ? '?' : point)
        .forEach(text::appendCodePoint);
    return text + (name.codePointCount(0, name.length()) > MAXIMUM_LENGTH ? "...\"" : "\"");
  }
}
