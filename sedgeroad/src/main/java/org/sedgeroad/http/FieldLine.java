package org.sedgeroad.http;

/** A line of the head or the trailers of an answer that holds a field (RFC 9112, section 5). */
final class FieldLine {
  private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";
  private static final boolean[] NAME_BYTES = nameBytes();

  private final LineBuffer line;
  private final int nameEnd;
  private final int valueStart;
  private final int valueEnd;

  private FieldLine(LineBuffer line, int nameEnd, int valueStart, int valueEnd) {
    this.line = line;
    this.nameEnd = nameEnd;
    this.valueStart = valueStart;
    this.valueEnd = valueEnd;
  }

  private static boolean[] nameBytes() {
    boolean[] allowed = new boolean[256];
    for (int next = 0; next < 128; next++) {
      allowed[next] = Character.isLetterOrDigit(next) || NAME_SYMBOLS.indexOf(next) >= 0;
    }
    return allowed;
  }

  /**
   * Returns the field of a line; it is valid until the line changes.
   *
   * @throws InvalidAnswerException if the line holds no field; a line that continues the one before
   *     it holds none
   */
  static FieldLine parse(LineBuffer line) throws InvalidAnswerException {
    int nameEnd = 0;
    while (nameEnd < line.length() && NAME_BYTES[line.at(nameEnd)]) {
      nameEnd++;
    }
    if (nameEnd == 0 || nameEnd == line.length() || line.at(nameEnd) != ':') {
      throw new InvalidAnswerException("a line is not a field");
    }
    line.checkText(nameEnd + 1);
    int start = nameEnd + 1;
    int end = line.length();
    while (start < end && isBlank(line.at(start))) {
      start++;
    }
    while (end > start && isBlank(line.at(end - 1))) {
      end--;
    }
    return new FieldLine(line, nameEnd, start, end);
  }

  /** Returns whether a byte is a space or a tab. */
  static boolean isBlank(int next) {
    return next == ' ' || next == '\t';
  }

  /** Returns whether the field has a name, which is not case-sensitive. */
  boolean hasName(String name) {
    return nameEnd == name.length() && line.text(0, nameEnd).equalsIgnoreCase(name);
  }

  /** Returns the value without the blanks around it; each byte is one character. */
  String value() {
    return line.text(valueStart, valueEnd);
  }
}
