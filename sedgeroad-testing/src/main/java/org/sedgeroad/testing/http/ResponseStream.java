package org.sedgeroad.testing.http;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * A response body that is sent in parts without blocking. The methods may be called on any thread;
 * the exchange's I/O thread writes the parts in the order of the calls.
 */
public final class ResponseStream {
  /** A caller with more unsent bytes is disconnected, so that a slow reader can't fill the heap. */
  private static final long MAX_PENDING_BYTES = 32L << 20;

  private final HttpServerExchange exchange;
  private final Deque<ByteBuffer> pending = new ArrayDeque<>();
  private StreamSinkChannel channel;
  private long pendingBytes;
  private boolean endRequested;
  private boolean finished;
  private boolean aborted;

  private ResponseStream(HttpServerExchange exchange) {
    this.exchange = exchange;
  }

  /** Returns a stream for an exchange whose status and headers are set. */
  public static ResponseStream of(HttpServerExchange exchange) {
    return new ResponseStream(exchange);
  }

  /** Sends the status and headers now, so that the caller receives them before the first part. */
  public void begin() {
    exchange.getIoThread().execute(this::write);
  }

  /** Sends a part of the body; no effect once the connection is closed. */
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
              endRequested = true;
              write();
            });
  }

  /** Closes the connection without ending the body. */
  public void abort() {
    exchange.getIoThread().execute(this::abortNow);
  }

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

  /** Writes as much as the socket accepts; returns whether everything has been written. */
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
    if (endRequested && !finished) {
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
