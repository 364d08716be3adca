package org.sedgeroad.testing.http;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * A response body sent in parts without blocking. The methods may be called on any thread; the
 * parts are written in the order of the calls on the exchange's I/O thread.
 */
public final class ResponseStream {
  /** A reader this far behind is disconnected, so that it can't fill the heap. */
  private static final long MAX_PENDING_BYTES = 32L << 20;

  private final HttpServerExchange exchange;
  private final Deque<ByteBuffer> pending = new ArrayDeque<>();
  private StreamSinkChannel channel;
  private long pendingBytes;
  private boolean ending;
  private boolean finished;
  private boolean aborted;

  private ResponseStream(HttpServerExchange exchange) {
    this.exchange = exchange;
  }

  /** Returns a stream for an exchange whose status and headers are set. */
  public static ResponseStream of(HttpServerExchange exchange) {
    return new ResponseStream(exchange);
  }

  /** Sends the head of the answer now, so that the caller sees it before the first part. */
  public void begin() {
    exchange.getIoThread().execute(this::write);
  }

  /** Sends a part; no effect once the connection is closed. */
  public void send(byte[] part) {
    exchange
        .getIoThread()
        .execute(
            () -> {
              pending.add(ByteBuffer.wrap(part));
              pendingBytes += part.length;
              write();
            });
  }

  /** Ends the body after the parts sent so far. */
  public void end() {
    exchange
        .getIoThread()
        .execute(
            () -> {
              ending = true;
              write();
            });
  }

  /** Closes the connection without ending the body. */
  public void abort() {
    exchange.getIoThread().execute(this::abortNow);
  }

  // -----------------------------------------------------------------------

  private void write() {
    if (aborted || !exchange.getConnection().isOpen()) {
      return;
    }
    if (pendingBytes > MAX_PENDING_BYTES) {
      abortNow();
      return;
    }
    try {
      if (channel == null) {
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set(ignored -> write());
      }
      if (writePending()) {
        channel.suspendWrites();
      } else {
        channel.resumeWrites();
      }
    } catch (IOException failure) {
      abortNow();
    }
  }

  /** Writes what the socket takes; returns whether everything is written. */
  private boolean writePending() throws IOException {
    while (!pending.isEmpty()) {
      ByteBuffer next = pending.peek();
      int count = channel.write(next);
      pendingBytes -= count;
      if (next.hasRemaining()) {
        return false;
      }
      pending.remove();
    }
    if (ending && !finished) {
      channel.shutdownWrites();
      finished = true;
    }
    return channel.flush();
  }

  private void abortNow() {
    aborted = true;
    pending.clear();
    IoUtils.safeClose(exchange.getConnection());
  }
}
