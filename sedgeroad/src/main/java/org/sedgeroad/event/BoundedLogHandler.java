package org.sedgeroad.event;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * A log handler that writes lines on a separate thread, so that no thread that logs waits for the
 * output.
 *
 * <p>Lines that arrive while the queue is full are dropped. Their number is written as soon as the
 * queue is empty.
 */
public final class BoundedLogHandler extends Handler {
  /** Maximum number of queued lines; at 300 bytes each they take up at most 1.2 MB. */
  private static final int DEFAULT_QUEUE_CAPACITY = 4_096;

  /** Maximum wait for a line before dropped lines are reported, in milliseconds. */
  private static final long DROP_REPORT_INTERVAL_MILLIS = 1_000;

  /** Maximum duration of {@link #flush}, in milliseconds. */
  private static final long FLUSH_TIMEOUT_MILLIS = 200;

  private final OutputStream output;
  private final BlockingQueue<String> queue;
  private final AtomicLong droppedLines = new AtomicLong();
  private volatile boolean writing;

  private BoundedLogHandler(OutputStream output, int queueCapacity) {
    this.output = output;
    this.queue = new ArrayBlockingQueue<>(queueCapacity);
  }

  /**
   * Starts a handler that writes each message as one line of UTF-8 text.
   *
   * @param output stream that the lines are written to; never closed
   */
  public static BoundedLogHandler start(OutputStream output) {
    return start(output, DEFAULT_QUEUE_CAPACITY);
  }

  static BoundedLogHandler start(OutputStream output, int queueCapacity) {
    BoundedLogHandler handler = new BoundedLogHandler(output, queueCapacity);
    Thread writer = new Thread(handler::writeAll, "log-writer");
    writer.setDaemon(true);
    writer.start();
    return handler;
  }

  @Override
  public void publish(LogRecord entry) {
    if (!queue.offer(entry.getMessage())) {
      droppedLines.incrementAndGet();
    }
  }

  /** Waits until all queued lines are written, but for at most 200 milliseconds. */
  @Override
  public void flush() {
    long deadline = System.nanoTime() + FLUSH_TIMEOUT_MILLIS * 1_000_000L;
    while ((!queue.isEmpty() || writing) && System.nanoTime() - deadline < 0) {
      try {
        Thread.sleep(1);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  @Override
  public void close() {
    flush();
  }

  private void writeAll() {
    try {
      while (true) {
        String line = queue.poll(DROP_REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        writing = true;
        if (line != null) {
          write(line);
        }
        if (queue.isEmpty()) {
          long count = droppedLines.getAndSet(0);
          if (count > 0) {
            write(
                "{\"time\":\""
                    + Instant.now()
                    + "\",\"level\":\"WARNING\",\"event\":"
                    + LogEvent.LINES_DROPPED.number()
                    + ",\"message\":\""
                    + LogEvent.LINES_DROPPED.text()
                    + "\",\"lines\":\""
                    + count
                    + "\"}");
          }
          output.flush();
          writing = false;
        }
      }
    } catch (IOException closed) {
      // The failure of the output can't be logged anywhere. This thread ends; later lines are
      // dropped.
      writing = false;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(String line) throws IOException {
    output.write((line + System.lineSeparator()).getBytes(StandardCharsets.UTF_8));
  }
}
