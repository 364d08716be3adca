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
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sedgeroad.MonotonicClock;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * A request in progress and its answer. Sending and receiving run on the connection's I/O thread;
 * {@link #close} may be called from any thread.
 */
public final class HttpExchange implements AutoCloseable {
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,9})");

  /** Largest head of an answer, in bytes. */
  private static final long MAXIMUM_HEAD_BYTES = 256 * 1024;

  /** Largest number of bytes on the wire for each byte of a body; a chunk of one byte takes six. */
  private static final long MAXIMUM_FRAMING_FACTOR = 16;

  /** Number of reads after which the other exchanges of the thread have their turn. */
  private static final int MAXIMUM_READS_IN_A_ROW = 16;

  private final PooledHttpClient client;
  private final HttpCall call;
  private final HttpListener listener;
  private final MonotonicClock clock;
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile ClientConnection connection;
  private volatile boolean headReceived;
  private volatile boolean sendStarted;
  private volatile XnioExecutor.Key deadlineTimer;

  /** Bytes of the body that were received; written on the I/O thread only. */
  private volatile long bodyBytes;

  /** Whether the connection was closed because the answer has no end. */
  private volatile boolean withoutEnd;

  /** Whether a write on the present connection failed; used on its I/O thread only. */
  private boolean writeFailed;

  /** Time at which the request was sent; used on the I/O thread only. */
  private long sentNanos;

  /** Bytes that had been read from the connection when the request was sent. */
  private volatile long connectionBytesBefore;

  HttpExchange(
      PooledHttpClient client, HttpCall call, HttpListener listener, MonotonicClock clock) {
    this.client = client;
    this.call = call;
    this.listener = listener;
    this.clock = clock;
  }

  HttpCall call() {
    return call;
  }

  /** Cancels the exchange by closing its connection. Has no effect once the exchange has ended. */
  @Override
  public void close() {
    fail(
        connection == null
            ? new HttpFailure.NotSent("cancelled")
            : new HttpFailure.Broken("cancelled"));
  }

  /**
   * Fails the exchange if it has no connection after a timeout.
   *
   * @param timeoutMillis maximum wait in milliseconds; the wait ends at the deadline of the call if
   *     that is earlier
   * @param thread I/O thread on which the check runs
   */
  void startConnectTimer(long timeoutMillis, XnioIoThread thread) {
    thread.executeAfter(
        () -> {
          if (connection == null) {
            fail(new HttpFailure.NotSent("connection timed out"));
          }
        },
        Math.min(timeoutMillis, remainingMillis()),
        TimeUnit.MILLISECONDS);
  }

  /**
   * Sends the request on a connection.
   *
   * @param opened the connection
   * @param pooled whether the connection was taken from the pool
   */
  void send(ClientConnection opened, boolean pooled) {
    if (ended.get()) {
      // The exchange ended before a byte was sent on this connection, so the connection can serve
      // another request.
      client.release(call.uri(), opened, null);
      return;
    }
    if (pooled && !opened.isOpen()) {
      client.connect(this);
      return;
    }
    connection = opened;
    if (ended.get()) {
      IoUtils.safeClose(opened);
      return;
    }
    try {
      deadlineTimer =
          opened
              .getIoThread()
              .executeAfter(
                  () -> failAtDeadline(opened, pooled), remainingMillis(), TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException rejected) {
      fail(HttpFailure.CLIENT_CLOSING);
      return;
    }
    sendStarted = true;
    writeFailed = false;
    sentNanos = clock.nanos();
    connectionBytesBefore = opened.getStatistics().getRead();
    client.guard(this);
    opened.sendRequest(
        toClientRequest(),
        new ClientCallback<>() {
          @Override
          public void completed(ClientExchange exchange) {
            awaitHead(exchange, pooled);
            writeBody(exchange);
          }

          @Override
          public void failed(IOException failure) {
            retryOrFail(failure, pooled);
          }
        });
  }

  boolean hasEnded() {
    return ended.get();
  }

  /**
   * Fails the exchange if more bytes have arrived than an answer can have: a head without end, or
   * framing without content. Runs on a thread of its own, because the I/O thread may be busy with
   * these bytes.
   */
  void checkSize() {
    ClientConnection open = connection;
    if (open == null || ended.get()) {
      return;
    }
    long received = open.getStatistics().getRead() - connectionBytesBefore;
    if (received > MAXIMUM_HEAD_BYTES + MAXIMUM_FRAMING_FACTOR * bodyBytes) {
      // The connection is closed first; the I/O thread then leaves its loop and runs the listener.
      // To that thread, the close may look like the end of the answer.
      withoutEnd = true;
      closeRaw(open);
      open.getIoThread().execute(this::failWithoutEnd);
    }
  }

  private void failAtDeadline(ClientConnection open, boolean pooled) {
    boolean silent = open.getStatistics().getRead() == connectionBytesBefore;
    if (pooled && silent && !ended.get()) {
      client.closeIdle(call.uri(), sentNanos);
    }
    fail(new HttpFailure.Broken("deadline passed"));
  }

  private void failWithoutEnd() {
    fail(new HttpFailure.Broken("the answer has no end"));
  }

  private static void closeRaw(ClientConnection open) {
    try {
      IoUtils.safeClose(open.performUpgrade());
    } catch (IOException alreadyClosed) {
      // The connection is closed already.
    }
    IoUtils.safeClose(open);
  }

  /** Ends the exchange with a failure, unless it has ended already. */
  void fail(HttpFailure failure) {
    if (ended.compareAndSet(false, true)) {
      cancelDeadlineTimer();
      closeConnection();
      // If a retry fails before it sends the request, the failure is NotSent, although the first
      // attempt may have reached the server.
      boolean mayHaveBeenSent = sendStarted && failure instanceof HttpFailure.NotSent;
      listener.onFailure(mayHaveBeenSent ? new HttpFailure.Broken(failure.reason()) : failure);
    }
  }

  private long remainingMillis() {
    return Math.max(1, (call.deadlineNanos() - clock.nanos()) / 1_000_000L);
  }

  /**
   * Closes the socket at once, on its I/O thread. The close method of Undertow's client connection
   * waits for the end of the answer, so the server would detect the cancellation only after it had
   * done all the work. Therefore this method closes the raw connection, which {@code
   * performUpgrade} returns.
   */
  private void closeConnection() {
    ClientConnection open = connection;
    if (open == null) {
      return;
    }
    try {
      open.getIoThread().execute(() -> closeRaw(open));
    } catch (RejectedExecutionException rejected) {
      // The I/O threads are shutting down and close their sockets.
      IoUtils.safeClose(open);
    }
  }

  private void cancelDeadlineTimer() {
    XnioExecutor.Key key = deadlineTimer;
    if (key != null) {
      key.remove();
    }
  }

  /**
   * Handles a broken connection. The server may have closed a pooled connection while it was idle,
   * so a GET request that was sent on a pooled connection is sent once more, on a new connection.
   * Requests with other methods fail, because the first attempt may have taken effect. A GET
   * request also fails if its connection was not pooled or the head of the answer has been
   * received.
   */
  private void retryOrFail(IOException failure, boolean pooled) {
    if (pooled && call.method().equals("GET") && !headReceived && !ended.get()) {
      cancelDeadlineTimer();
      IoUtils.safeClose(connection);
      connection = null;
      try {
        client.connect(this);
      } catch (RejectedExecutionException rejected) {
        fail(new HttpFailure.Broken(HttpFailure.CLIENT_CLOSING.reason()));
      }
    } else {
      fail(new HttpFailure.Broken(HttpFailure.describe(failure)));
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

  private void writeBody(ClientExchange exchange) {
    StreamSinkChannel sink = exchange.getRequestChannel();
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
        sink.suspendWrites();
      }
      return flushed;
    } catch (IOException failure) {
      // The server may have answered early and closed its side. The answer, or its absence,
      // determines the outcome.
      writeFailed = true;
      sink.suspendWrites();
      return true;
    }
  }

  private void awaitHead(ClientExchange exchange, boolean pooled) {
    exchange.setResponseListener(
        new ClientCallback<>() {
          @Override
          public void completed(ClientExchange received) {
            readHead(received);
          }

          @Override
          public void failed(IOException failure) {
            retryOrFail(failure, pooled);
          }
        });
  }

  private void readHead(ClientExchange exchange) {
    if (ended.get()) {
      return;
    }
    headReceived = true;
    ClientResponse answer = exchange.getResponse();
    Map<String, String> headers = new LinkedHashMap<>();
    Set<String> repeated = new HashSet<>();
    for (HeaderValues values : answer.getResponseHeaders()) {
      String name = values.getHeaderName().toString();
      headers.put(name, values.getFirst());
      if (values.size() > 1) {
        repeated.add(name);
      }
    }
    listener.onHead(new HttpHead(answer.getResponseCode(), headers, repeated));
    StreamSourceChannel source = exchange.getResponseChannel();
    source.getReadSetter().set(channel -> readAvailable((StreamSourceChannel) channel, exchange));
    if (readAvailable(source, exchange)) {
      source.resumeReads();
    }
  }

  /** Passes the available bytes to the listener; returns whether more can arrive. */
  private boolean readAvailable(StreamSourceChannel source, ClientExchange exchange) {
    try (PooledByteBuffer pooled = client.buffers().allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      for (int reads = 0; !ended.get(); reads++) {
        if (reads == MAXIMUM_READS_IN_A_ROW) {
          // Other exchanges of this thread must have their turn.
          source.wakeupReads();
          return true;
        }
        buffer.clear();
        int count = source.read(buffer);
        if (count == 0) {
          return true;
        }
        if (count < 0) {
          complete(exchange);
          return false;
        }
        buffer.flip();
        bodyBytes += buffer.remaining();
        if (bodyBytes > listener.maximumBodyBytes()) {
          fail(new HttpFailure.Broken("the answer is too long"));
          return false;
        }
        listener.onBytes(buffer);
      }
      return false;
    } catch (IOException failure) {
      fail(new HttpFailure.Broken(HttpFailure.describe(failure)));
      return false;
    }
  }

  /** Ends the exchange after a whole answer; pools the connection if it can be reused. */
  private void complete(ClientExchange exchange) {
    if (withoutEnd) {
      failWithoutEnd();
    } else if (writeFailed && endsWithConnection(exchange.getResponse())) {
      // A reset is reported once, to the write; the read that follows reports a normal end.
      fail(new HttpFailure.Broken("the connection failed before the end of the answer"));
    } else if (ended.compareAndSet(false, true)) {
      cancelDeadlineTimer();
      String connectionOption =
          exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION);
      if (call.newConnection()
          || !listener.allowsReuse()
          || "close".equalsIgnoreCase(connectionOption)) {
        IoUtils.safeClose(connection);
      } else {
        String keepAlive = exchange.getResponse().getResponseHeaders().getFirst(Headers.KEEP_ALIVE);
        client.release(call.uri(), connection, keepAliveSeconds(keepAlive));
      }
      listener.onEnd();
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
