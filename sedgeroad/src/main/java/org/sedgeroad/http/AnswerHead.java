package org.sedgeroad.http;

/** The parts of the head of an answer that tell where the answer ends. Not thread-safe. */
final class AnswerHead {
  private static final String CONTENT_LENGTH = "Content-Length";
  private static final String TRANSFER_ENCODING = "Transfer-Encoding";
  private static final String CHUNKED = "chunked";

  /** Length of {@code HTTP/1.1} and the blank after it. */
  private static final int STATUS_START = 9;

  private static final int STATUS_DIGITS = 3;

  /** Position of the digit that transfer codings depend on; HTTP/1.0 has none. */
  private static final int MINOR_VERSION = 7;

  private int status;
  private long contentLength = -1;
  private boolean hasCoding;
  private boolean allowsCoding;

  /** Returns the status code, 0 before the status line. */
  int status() {
    return status;
  }

  /** Reads the status line. */
  void addStatusLine(LineBuffer line) {
    allowsCoding = line.length() > MINOR_VERSION && line.at(MINOR_VERSION) != '0';
    int end = STATUS_START + STATUS_DIGITS;
    for (int index = STATUS_START; index < Math.min(end, line.length()); index++) {
      status = 10 * status + line.at(index) - '0';
    }
  }

  /**
   * Reads a field.
   *
   * @throws InvalidAnswerException if the field contradicts itself or another one
   */
  void addField(LineBuffer line) throws InvalidAnswerException {
    FieldLine field = FieldLine.parse(line);
    if (field.hasName(CONTENT_LENGTH)) {
      addContentLength(field.value());
    } else if (field.hasName(TRANSFER_ENCODING)) {
      addCoding(field.value());
    }
    if (hasCoding && contentLength >= 0) {
      throw new InvalidAnswerException("it has both a length and a transfer coding");
    }
  }

  private void addContentLength(String value) throws InvalidAnswerException {
    long length = parseLength(value);
    if (contentLength >= 0 && contentLength != length) {
      throw new InvalidAnswerException("its lengths differ");
    }
    contentLength = length;
  }

  private void addCoding(String value) throws InvalidAnswerException {
    if (hasCoding) {
      throw new InvalidAnswerException("it has several transfer codings");
    }
    // Requests ask for no coding, so that a server may only use chunks.
    if (!allowsCoding || !CHUNKED.equalsIgnoreCase(value)) {
      throw new InvalidAnswerException("its transfer coding is not known");
    }
    hasCoding = true;
  }

  private static long parseLength(String value) throws InvalidAnswerException {
    try {
      // The parser of the library also accepts a sign and the digits of other scripts.
      if (!value.isEmpty() && value.chars().allMatch(next -> next >= '0' && next <= '9')) {
        return Long.parseLong(value);
      }
    } catch (NumberFormatException tooLarge) {
      throw new InvalidAnswerException("its length is too large");
    }
    throw new InvalidAnswerException("its length is not a number");
  }
}
