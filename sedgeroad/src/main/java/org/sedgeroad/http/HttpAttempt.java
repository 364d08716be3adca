package org.sedgeroad.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sedgeroad.MonotonicClock;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One sending of the request of an {@link HttpExchange} on one connection, and the answer to it.
 * Used on the connection's I/O thread, unless stated otherwise.
 */
final class HttpAttempt {
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,9})");

  /** Largest head of an answer, in bytes. */
  static final int MAXIMUM_HEAD_BYTES = 256 * 1024;

  /** Largest number of bytes on the wire for each byte of a body; a chunk of one byte takes six. */
  private static final long MAXIMUM_FRAMING_FACTOR = 16;

  /** Number of reads after which the other exchanges of the thread have their turn. */
  private static final int MAXIMUM_READS_IN_A_ROW = 16;

  /** Lowest status of a final answer; those below precede one. */
  private static final int LOWEST_FINAL_STATUS = 200;

  /**
   * Status of an answer that has no body. Bytes that a server sends after it all the same can't be
   * told from the next answer once another request was sent.
   */
  private static final int NO_CONTENT = 204;

  /** Status of an answer that may state the length of a body but has none. */
  private static final int NOT_MODIFIED = 304;

  private final HttpExchange exchange;
  private final HttpCall call;
  private final ValidatedConnection validated;
  private final ClientConnection connection;
  private final boolean pooled;
  private final MonotonicClock clock;
  private volatile boolean headReceived;
  private volatile XnioExecutor.Key deadlineTimer;

  /** Bytes of the body that were received; written on the I/O thread only. */
  private volatile long bodyBytes;

  /** Whether the connection was closed because the answer has no end. */
  private volatile boolean withoutEnd;

  /** Whether the whole request was handed to the operating system. */
  private boolean requestWritten;

  /** Whether the answer has ended with its head, although its fields describe a body. */
  private boolean withoutBody;

  private boolean reading;

  /** Failure that was reported during a read, null without one. */
  private IOException failureWhileReading;

  /** Time at which the request was sent. */
  private long sentNanos;

  /** Bytes that had been read from the connection before the attempt. */
  private final long connectionBytesBefore;

  /**
   * Creates an attempt that has not been sent.
   *
   * @param exchange receives the answer or the failure
   * @param opened an open connection without an exchange in progress
   * @param pooled whether the connection was taken from the pool
   * @param clock monotonic clock
   */
  HttpAttempt(
      HttpExchange exchange, ValidatedConnection opened, boolean pooled, MonotonicClock clock) {
    this.exchange = exchange;
    this.call = exchange.call();
    this.validated = opened;
    this.connection = opened.client();
    this.pooled = pooled;
    this.clock = clock;
    this.connectionBytesBefore = connection.getStatistics().getRead();
  }

  boolean isPooled() {
    return pooled;
  }

  boolean hasReceivedHead() {
    return headReceived;
  }

  /**
   * Fails the exchange after a time unless the attempt has ended before.
   *
   * @throws RejectedExecutionException if the I/O thread has ended
   */
  void startDeadlineTimer(long millis) {
    deadlineTimer =
        connection.getIoThread().executeAfter(this::failAtDeadline, millis, TimeUnit.MILLISECONDS);
  }

  /** Sends the request. */
  void send() {
    sentNanos = clock.nanos();
    validated.source().validator().beginAnswer(call.method());
    connection.sendRequest(
        toClientRequest(),
        new ClientCallback<>() {
          @Override
          public void completed(ClientExchange started) {
            awaitHead(started);
            writeBody(started);
          }

          @Override
          public void failed(IOException failure) {
            fail(failure);
          }
        });
  }

  /**
   * Closes the socket, on its I/O thread. The close method of Undertow's client connection waits
   * for the end of the answer, so the server would detect the cancellation only after it had done
   * all the work. Therefore this method closes the raw connection, which {@code performUpgrade}
   * returns. May be called on any thread.
   */
  void close() {
    cancelDeadlineTimer();
    try {
      connection.getIoThread().execute(this::closeRaw);
    } catch (RejectedExecutionException rejected) {
      // The I/O threads are shutting down and close their sockets.
      IoUtils.safeClose(connection);
    }
  }

  /**
   * Ends the attempt after a whole answer.
   *
   * @param reusable whether the connection may serve another request as far as the caller knows
   */
  void end(boolean reusable, ClientResponse answer) {
    cancelDeadlineTimer();
    if (withoutBody || !requestWritten) {
      // Undertow's client would wait for the body, or for the rest of the request to be written.
      closeRaw();
    } else if (!reusable
        || answer.getResponseCode() == NO_CONTENT
        || validated.source().validator().hasBytesAfterEnd()
        || "close".equalsIgnoreCase(answer.getResponseHeaders().getFirst(Headers.CONNECTION))) {
      IoUtils.safeClose(connection);
    } else {
      String keepAlive = answer.getResponseHeaders().getFirst(Headers.KEEP_ALIVE);
      exchange.connections().release(call.uri(), validated, keepAliveSeconds(keepAlive));
    }
  }

  /**
   * Fails the exchange if more bytes have arrived than an answer can have: a head without end, or
   * framing without content. Runs on a thread of its own, because the I/O thread may be busy with
   * these bytes.
   */
  void checkSize() {
    long received = connection.getStatistics().getRead() - connectionBytesBefore;
    if (received > MAXIMUM_HEAD_BYTES + MAXIMUM_FRAMING_FACTOR * bodyBytes) {
      // The connection is closed first; the I/O thread then leaves its loop and runs the listener.
      // To that thread, the close may look like the end of the answer.
      withoutEnd = true;
      closeRaw();
      connection.getIoThread().execute(this::failWithoutEnd);
    }
  }

  private void failAtDeadline() {
    boolean silent = connection.getStatistics().getRead() == connectionBytesBefore;
    if (pooled && silent && exchange.isCurrent(this)) {
      exchange.connections().closeIdle(call.uri(), sentNanos);
    }
    exchange.fail(this, new HttpFailure.Broken("deadline passed"));
  }

  private void failWithoutEnd() {
    exchange.fail(this, new HttpFailure.Broken("the answer has no end"));
  }

  private void fail(IOException failure) {
    exchange.attemptFailed(this, new HttpFailure.Broken(HttpFailure.describe(failure)));
  }

  private void closeRaw() {
    try {
      IoUtils.safeClose(connection.performUpgrade());
    } catch (IOException alreadyClosed) {
      // The connection is closed already.
    }
    IoUtils.safeClose(connection);
  }

  private void cancelDeadlineTimer() {
    XnioExecutor.Key key = deadlineTimer;
    if (key != null) {
      key.remove();
    }
  }

  private ClientRequest toClientRequest() {
    URI uri = call.uri();
    String query = uri.getRawQuery();
    ClientRequest request =
        new ClientRequest()
            .setMethod(new HttpString(call.method()))
            .setPath(query == null ? uri.getRawPath() : uri.getRawPath() + "?" + query);
    request.getRequestHeaders().put(Headers.HOST, uri.getAuthority());
    if (call.body().length > 0 || !call.method().equals("GET")) {
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
      request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
    }
    call.headers()
        .forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
    return request;
  }

  private void writeBody(ClientExchange started) {
    StreamSinkChannel sink = started.getRequestChannel();
    ByteBuffer body = ByteBuffer.wrap(call.body());
    if (!writeAvailable(sink, body)) {
      sink.getWriteSetter().set(channel -> writeAvailable((StreamSinkChannel) channel, body));
      sink.resumeWrites();
    }
  }

  /**
   * Writes as much of the body as the channel accepts. Returns false if more must be written or
   * flushed later, true if the whole body was flushed or writing failed.
   */
  private boolean writeAvailable(StreamSinkChannel sink, ByteBuffer body) {
    try {
      while (body.hasRemaining()) {
        if (sink.write(body) == 0) {
          return false;
        }
      }
      sink.shutdownWrites();
      boolean flushed = sink.flush();
      if (flushed) {
        requestWritten = true;
        sink.suspendWrites();
      }
      return flushed;
    } catch (IOException failure) {
      // The server may have answered early and closed its side. The answer, or its absence,
      // determines the outcome.
      sink.suspendWrites();
      return true;
    }
  }

  private void awaitHead(ClientExchange started) {
    started.setResponseListener(
        new ClientCallback<>() {
          @Override
          public void completed(ClientExchange received) {
            readHead(received);
          }

          @Override
          public void failed(IOException failure) {
            if (reading) {
              // A read that finds the end of an answer closes the connection, which is reported
              // here before the read returns; what it returns tells whether the answer is whole.
              failureWhileReading = failure;
            } else {
              fail(failure);
            }
          }
        });
  }

  private void readHead(ClientExchange received) {
    if (!exchange.isCurrent(this)) {
      return;
    }
    headReceived = true;
    ClientResponse answer = received.getResponse();
    int status = answer.getResponseCode();
    if (status < LOWEST_FINAL_STATUS) {
      exchange.fail(this, new HttpFailure.Broken("the status " + status + " ends no exchange"));
      return;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    Set<String> repeated = new HashSet<>();
    for (HeaderValues values : answer.getResponseHeaders()) {
      String name = values.getHeaderName().toString();
      headers.put(name, values.getFirst());
      if (values.size() > 1) {
        repeated.add(name);
      }
    }
    exchange.headReceived(this, new HttpHead(status, headers, repeated));
    if (status == NOT_MODIFIED && !endsWithConnection(answer)) {
      // Its length is that of another answer, but Undertow's client would wait for the body.
      withoutBody = true;
      exchange.answered(this, answer);
      return;
    }
    StreamSourceChannel source = received.getResponseChannel();
    source.getReadSetter().set(channel -> readAvailable((StreamSourceChannel) channel, received));
    if (readAvailable(source, received)) {
      source.resumeReads();
    }
  }

  /** Passes the available bytes to the exchange; returns whether more can arrive. */
  private boolean readAvailable(StreamSourceChannel source, ClientExchange received) {
    try (PooledByteBuffer allocated = exchange.connections().buffers().allocate()) {
      ByteBuffer buffer = allocated.getBuffer();
      for (int reads = 0; exchange.isCurrent(this); reads++) {
        if (reads == MAXIMUM_READS_IN_A_ROW) {
          // Other exchanges of this thread must have their turn.
          source.wakeupReads();
          return true;
        }
        buffer.clear();
        int count = read(source, buffer);
        if (count == 0 && failureWhileReading == null) {
          return true;
        }
        if (count == 0) {
          fail(failureWhileReading);
          return false;
        }
        if (count < 0) {
          complete(received);
          return false;
        }
        buffer.flip();
        bodyBytes += buffer.remaining();
        if (bodyBytes > exchange.maximumBodyBytes()) {
          exchange.fail(this, new HttpFailure.Broken("the answer is too long"));
          return false;
        }
        exchange.bytesReceived(this, buffer);
      }
      return false;
    } catch (IOException failure) {
      fail(failure);
      return false;
    }
  }

  private int read(StreamSourceChannel source, ByteBuffer buffer) throws IOException {
    reading = true;
    try {
      return source.read(buffer);
    } finally {
      reading = false;
    }
  }

  private void complete(ClientExchange received) {
    if (withoutEnd) {
      failWithoutEnd();
    } else if (!requestWritten && endsWithConnection(received.getResponse())) {
      // A reset is reported once, and perhaps to the write; the read that follows reports a normal
      // end. It may also arrive after that end. A server that is done reads the request first.
      exchange.fail(
          this, new HttpFailure.Broken("the connection failed before the end of the answer"));
    } else {
      exchange.answered(this, received.getResponse());
    }
  }

  /**
   * Returns whether an answer has neither a length nor chunks, so that it ends with its connection.
   */
  private static boolean endsWithConnection(ClientResponse answer) {
    String encoding = answer.getResponseHeaders().getLast(Headers.TRANSFER_ENCODING);
    return !"chunked".equalsIgnoreCase(encoding)
        && !answer.getResponseHeaders().contains(Headers.CONTENT_LENGTH);
  }

  /**
   * Returns the timeout in seconds of a {@code Keep-Alive} header such as {@code timeout=5,
   * max=100}, null if there is none.
   */
  private static Long keepAliveSeconds(String keepAlive) {
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(keepAlive == null ? "" : keepAlive);
    return matcher.find() ? Long.valueOf(matcher.group(1)) : null;
  }
}
