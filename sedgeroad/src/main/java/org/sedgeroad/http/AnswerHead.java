package org.sedgeroad.http;

/** The parts of the head of an answer that tell where the answer ends. Not thread-safe. */
final class AnswerHead {
  private static final String CONTENT_LENGTH = "Content-Length";
  private static final String TRANSFER_ENCODING = "Transfer-Encoding";
  private static final String CHUNKED = "chunked";

  /** Start of a status line; the minor version and a blank follow. */
  private static final String PROTOCOL = "HTTP/1.";

  private static final int STATUS_START = PROTOCOL.length() + 2;
  private static final int STATUS_END = STATUS_START + 3;
  private static final int LOWEST_STATUS = 100;
  private static final int HIGHEST_STATUS = 599;

  private int status;
  private long contentLength = -1;
  private boolean chunked;
  private boolean allowsCoding;

  /** Returns the status code, 0 before the status line. */
  int status() {
    return status;
  }

  /** Returns whether the body is sent in chunks. */
  boolean isChunked() {
    return chunked;
  }

  /** Returns the length of the body in bytes, -1 if it is not stated. */
  long contentLength() {
    return contentLength;
  }

  /**
   * Reads the status line.
   *
   * @throws InvalidAnswerException if the line is not a status line of HTTP/1
   */
  void addStatusLine(LineBuffer line) throws InvalidAnswerException {
    // The blank after the status is there without a reason phrase, too.
    if (line.length() <= STATUS_END
        || !line.text(0, PROTOCOL.length()).equals(PROTOCOL)
        || line.at(STATUS_START - 1) != ' '
        || line.at(STATUS_END) != ' ') {
      throw new InvalidAnswerException("its first line is not a status line of HTTP/1");
    }
    allowsCoding = digit(line, PROTOCOL.length()) > 0;
    for (int index = STATUS_START; index < STATUS_END; index++) {
      status = 10 * status + digit(line, index);
    }
    if (status < LOWEST_STATUS || status > HIGHEST_STATUS) {
      throw new InvalidAnswerException("its status is not in the range of 100 to 599");
    }
    line.checkText(STATUS_END);
  }

  private static int digit(LineBuffer line, int index) throws InvalidAnswerException {
    int digit = line.at(index) - '0';
    if (digit < 0 || digit > 9) {
      throw new InvalidAnswerException("its first line is not a status line of HTTP/1");
    }
    return digit;
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
    if (chunked && contentLength >= 0) {
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
    if (chunked) {
      throw new InvalidAnswerException("it has several transfer codings");
    }
    // Requests ask for no coding, so that a server may only use chunks.
    if (!allowsCoding || !CHUNKED.equalsIgnoreCase(value)) {
      throw new InvalidAnswerException("its transfer coding is not known");
    }
    chunked = true;
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
