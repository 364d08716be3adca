package org.sedgeroad.event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against threads that block on a slow log output and against uncounted lost lines. */
class BoundedLogHandlerTest {
  /** An output stream whose writes block until it is released. */
  private static final class StalledOutput extends OutputStream {
    private final CountDownLatch released = new CountDownLatch(1);
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    @Override
    public void write(int next) {
      try {
        released.await();
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
      synchronized (written) {
        written.write(next);
      }
    }

    private String text() {
      synchronized (written) {
        return written.toString(StandardCharsets.UTF_8);
      }
    }
  }

  @Nested
  class StalledOutputStream {
    @Test
    void doesNotBlockTheLoggingThreadAndCountsDroppedLines() {
      StalledOutput output = new StalledOutput();
      BoundedLogHandler handler = BoundedLogHandler.start(output, 10);
      long start = System.nanoTime();
      for (int number = 0; number < 10_000; number++) {
        handler.publish(new LogRecord(Level.INFO, "line " + number));
      }
      assertTrue(System.nanoTime() - start < 1_000_000_000L);
      output.released.countDown();
      Awaitility.await().until(() -> output.text().contains("log lines dropped"));
      long writtenLines = output.text().lines().filter(line -> line.startsWith("line ")).count();
      assertTrue(
          output.text().contains("\"lines\":\"" + (10_000 - writtenLines) + "\""), output.text());
    }
  }

  @Nested
  class Flush {
    @Test
    void writesAllQueuedLines() {
      ByteArrayOutputStream output = new ByteArrayOutputStream();
      BoundedLogHandler handler = BoundedLogHandler.start(output);
      for (int number = 0; number < 100; number++) {
        handler.publish(new LogRecord(Level.INFO, "line " + number));
      }
      handler.flush();
      assertEquals(100, output.toString(StandardCharsets.UTF_8).lines().count());
    }
  }
}
