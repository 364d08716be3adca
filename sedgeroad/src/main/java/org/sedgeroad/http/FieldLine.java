package org.sedgeroad.http;

/** A line of the head or the trailers of an answer that holds a field (RFC 9112, section 5). */
final class FieldLine {
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

  /** Returns the field of a line; it is valid until the line changes. */
  static FieldLine parse(LineBuffer line) {
    int nameEnd = 0;
    while (nameEnd < line.length() && line.at(nameEnd) != ':') {
      nameEnd++;
    }
    int start = Math.min(nameEnd + 1, line.length());
    int end = line.length();
    while (start < end && isBlank(line.at(start))) {
      start++;
    }
    while (end > start && isBlank(line.at(end - 1))) {
      end--;
    }
    return new FieldLine(line, nameEnd, start, end);
  }

  private static boolean isBlank(int next) {
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
