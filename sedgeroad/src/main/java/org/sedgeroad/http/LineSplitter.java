package org.sedgeroad.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Splits a stream of bytes into UTF-8 lines without their line ends. Not thread-safe. */
public final class LineSplitter {
  private final Consumer<String> lineConsumer;
  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

  /** Creates a splitter that passes each complete line on. */
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

  /** Passes on a last line that has no line end. */
  public void finish() {
    if (pending.size() > 0) {
      finishLine();
    }
  }

  /** Returns the bytes held of a line that has not ended. */
  public int pendingBytes() {
    return pending.size();
  }

  private void finishLine() {
    String line = pending.toString(StandardCharsets.UTF_8);
    pending.reset();
    lineConsumer.accept(line.endsWith("\r") ? line.substring(0, line.length() - 1) : line);
  }
}
