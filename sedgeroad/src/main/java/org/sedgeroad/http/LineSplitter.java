package org.sedgeroad.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Splits a stream of bytes into lines of UTF-8 text without their terminators, LF or CR LF. Not
 * thread-safe.
 */
public final class LineSplitter {
  private final Consumer<String> lineConsumer;
  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

  /** Creates a splitter that passes each complete line to a consumer. */
  public LineSplitter(Consumer<String> lineConsumer) {
    this.lineConsumer = lineConsumer;
  }

  /** Consumes all remaining bytes of the buffer. */
  public void accept(ByteBuffer bytes) {
    while (bytes.hasRemaining()) {
      byte next = bytes.get();
      if (next == '\n') {
        finishLine();
      } else {
        pending.write(next);
      }
    }
  }

  /** Passes on the last line if it has no terminator. */
  public void finish() {
    if (pending.size() > 0) {
      finishLine();
    }
  }

  /** Returns the number of buffered bytes of the current, unfinished line. */
  public int pendingBytes() {
    return pending.size();
  }

  private void finishLine() {
    String line = pending.toString(StandardCharsets.UTF_8);
    pending.reset();
    lineConsumer.accept(line.endsWith("\r") ? line.substring(0, line.length() - 1) : line);
  }
}
