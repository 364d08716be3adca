package org.sedgeroad.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Finds the parts of a JSON text without reading them, at any depth and in constant stack space.
 * Only brackets, strings and separators are recognised.
 */
final class JsonStructure {

  /**
   * Position of a value in the text.
   *
   * @param start index of its first byte
   * @param end index after its last byte
   */
  record Value(int start, int end) {
    int length() {
      return end - start;
    }
  }

  private final byte[] bytes;

  /** Creates a structure of a text in UTF-8, which must not be modified. */
  JsonStructure(byte[] bytes) {
    this.bytes = bytes;
  }

  byte[] bytes() {
    return bytes;
  }

  /** Returns the whole text as a value; empty if its brackets and strings do not match. */
  Optional<Value> whole() {
    int start = skipSpace(0);
    int end = endOf(start);
    return end > start && skipSpace(end) == bytes.length
        ? Optional.of(new Value(start, end))
        : Optional.empty();
  }

  boolean isArray(Value value) {
    return bytes[value.start()] == '[';
  }

  boolean isObject(Value value) {
    return bytes[value.start()] == '{';
  }

  /** Returns the elements of an array, or the names and values of an object in turns. */
  List<Value> elements(Value container) {
    List<Value> elements = new ArrayList<>();
    int next = skipSeparators(container.start() + 1);
    while (next < container.end() - 1) {
      int end = endOf(next);
      if (end <= next) {
        break;
      }
      elements.add(new Value(next, end));
      next = skipSeparators(end);
    }
    return elements;
  }

  /** Returns the index after the value that starts at an index, -1 if it has no end. */
  private int endOf(int start) {
    int depth = 0;
    for (int index = start; index < bytes.length; ) {
      int next = bytes[index];
      if (next == '"') {
        index = endOfString(index);
        if (index < 0) {
          return -1;
        }
      } else if (next == '{' || next == '[') {
        depth++;
        index++;
      } else if (next == '}' || next == ']') {
        depth--;
        index++;
      } else if (depth == 0) {
        return endOfScalar(index);
      } else {
        index++;
      }
      if (depth <= 0) {
        return depth == 0 ? index : -1;
      }
    }
    return -1;
  }

  private int endOfString(int start) {
    for (int index = start + 1; index < bytes.length; index++) {
      if (bytes[index] == '\\') {
        index++;
      } else if (bytes[index] == '"') {
        return index + 1;
      }
    }
    return -1;
  }

  private int endOfScalar(int start) {
    int index = start;
    while (index < bytes.length && !isSpace(bytes[index]) && ",:]}".indexOf(bytes[index]) < 0) {
      index++;
    }
    return index;
  }

  private int skipSpace(int start) {
    int index = start;
    while (index < bytes.length && isSpace(bytes[index])) {
      index++;
    }
    return index;
  }

  private int skipSeparators(int start) {
    int index = start;
    while (index < bytes.length
        && (isSpace(bytes[index]) || bytes[index] == ',' || bytes[index] == ':')) {
      index++;
    }
    return index;
  }

  private static boolean isSpace(byte next) {
    return next == ' ' || next == '\n' || next == '\r' || next == '\t';
  }
}
