package org.sedgeroad.testing.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Copies the bytes of one connection in one direction with a delay.
 *
 * <p>One thread reads and another one writes, so that a delay does not reduce the throughput.
 */
final class Pump {
  private static final int BUFFER_BYTES = 16 * 1024;

  /** Bounds the memory; a full queue blocks the reader while the writer is throttled. */
  private static final int MAX_CHUNKS = 256;

  /**
   * Bytes and the monotonic time at which to write them; an empty array marks the end of the
   * stream.
   */
  private record Chunk(byte[] bytes, long dueNanos) {}

  private final ProxyConnection connection;
  private final Direction direction;
  private final Socket from;
  private final Socket to;
  private final BlockingQueue<Chunk> chunks = new ArrayBlockingQueue<>(MAX_CHUNKS);
  private final Thread reader;
  private final Thread writer;

  Pump(ProxyConnection connection, Direction direction, Socket from, Socket to) {
    this.connection = connection;
    this.direction = direction;
    this.from = from;
    this.to = to;
    this.reader = thread("read", this::read);
    this.writer = thread("write", this::write);
  }

  void start() {
    reader.start();
    writer.start();
  }

  /** Interrupts both threads, except the calling one, which ends by itself. */
  void stop() {
    for (Thread thread : List.of(reader, writer)) {
      if (thread != Thread.currentThread()) {
        thread.interrupt();
      }
    }
  }

  private Thread thread(String role, Runnable task) {
    Thread thread = new Thread(task, "proxy-" + direction + "-" + role);
    thread.setDaemon(true);
    return thread;
  }

  private void read() {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      for (int count = 0; count >= 0; ) {
        count = from.getInputStream().read(buffer);
        byte[] bytes = count <= 0 ? new byte[0] : Arrays.copyOf(buffer, count);
        if (count != 0 && connection.shouldForward(direction, bytes.length)) {
          chunks.put(new Chunk(bytes, connection.dueNanos(direction, bytes.length)));
        }
      }
    } catch (IOException failure) {
      connection.onSocketError(from);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void write() {
    try {
      OutputStream out = to.getOutputStream();
      while (!connection.isClosed()) {
        Chunk chunk = chunks.take();
        long wait = chunk.dueNanos() - System.nanoTime();
        if (wait > 0) {
          TimeUnit.NANOSECONDS.sleep(wait);
        }
        if (chunk.bytes().length == 0) {
          to.shutdownOutput();
          connection.onDirectionEnded();
          return;
        }
        if (!connection.isDroppingBytes()) {
          out.write(chunk.bytes());
        }
      }
    } catch (IOException failure) {
      connection.onSocketError(to);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
