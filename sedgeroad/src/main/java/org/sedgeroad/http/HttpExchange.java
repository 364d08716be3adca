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
import java.util.LinkedHashMap;
import java.util.Map;
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
 * One running request and its answer. All steps run on the connection's I/O thread; only {@link
 * #close} may be called from any thread.
 */
public final class HttpExchange implements AutoCloseable {
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,9})");

  private final HttpCaller client;
  private final HttpCall call;
  private final HttpListener listener;
  private final MonotonicClock clock;
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile ClientConnection connection;
  private volatile boolean headReceived;
  private volatile boolean sendStarted;
  private volatile XnioExecutor.Key deadlineTimer;

  HttpExchange(HttpCaller client, HttpCall call, HttpListener listener, MonotonicClock clock) {
    this.client = client;
    this.call = call;
    this.listener = listener;
    this.clock = clock;
  }

  HttpCall call() {
    return call;
  }

  /** Cancels the exchange by closing its connection; no effect once it has ended. */
  @Override
  public void close() {
    fail(
        connection == null
            ? new HttpFailure.NotSent("cancelled")
            : new HttpFailure.Broken("cancelled"));
  }

  // -----------------------------------------------------------------------

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

  void send(ClientConnection opened, boolean pooled) {
    if (ended.get()) {
      // Cancelled before a byte was sent: the connection is unused and can serve another call.
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
                  () -> fail(new HttpFailure.Broken("deadline passed")),
                  remainingMillis(),
                  TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException rejected) {
      fail(HttpFailure.CLIENT_CLOSING);
      return;
    }
    sendStarted = true;
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

  void fail(HttpFailure failure) {
    if (ended.compareAndSet(false, true)) {
      cancelDeadlineTimer();
      closeConnection();
      // A second connection that can't be opened says nothing about what went over the first one.
      boolean mayHaveBeenSent = sendStarted && failure instanceof HttpFailure.NotSent;
      listener.onFailure(mayHaveBeenSent ? new HttpFailure.Broken(failure.reason()) : failure);
    }
  }

  // -----------------------------------------------------------------------

  private long remainingMillis() {
    return Math.max(1, (call.deadlineNanos() - clock.nanos()) / 1_000_000L);
  }

  /**
   * Closes the socket on its I/O thread. The client's own close waits for the server to end its
   * answer, which a server that should cancel the work would not notice; taking the raw connection
   * over and closing it does.
   */
  private void closeConnection() {
    ClientConnection open = connection;
    if (open == null) {
      return;
    }
    try {
      open.getIoThread()
          .execute(
              () -> {
                try {
                  IoUtils.safeClose(open.performUpgrade());
                } catch (IOException alreadyClosed) {
                  // The connection was closed before; the second close has no effect.
                }
                IoUtils.safeClose(open);
              });
    } catch (RejectedExecutionException rejected) {
      // The thread ends with the client and closes its sockets.
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
   * A pooled connection may have been closed by the server while idle: a read is tried once more on
   * a fresh one. A write is not, because the first sending may have taken effect.
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
      // The server may have answered early and closed its side; the response decides.
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
    ClientResponse response = exchange.getResponse();
    Map<String, String> headers = new LinkedHashMap<>();
    for (HeaderValues values : response.getResponseHeaders()) {
      headers.put(values.getHeaderName().toString(), values.getFirst());
    }
    listener.onHead(new HttpHead(response.getResponseCode(), headers));
    StreamSourceChannel source = exchange.getResponseChannel();
    if (readAvailable(source, exchange)) {
      source.getReadSetter().set(channel -> readAvailable((StreamSourceChannel) channel, exchange));
      source.resumeReads();
    }
  }

  /** Reads what is available; returns whether more is to come. */
  private boolean readAvailable(StreamSourceChannel source, ClientExchange exchange) {
    try (PooledByteBuffer pooled = client.buffers().allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      while (!ended.get()) {
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
        listener.onBytes(buffer);
      }
      return false;
    } catch (IOException failure) {
      fail(new HttpFailure.Broken(HttpFailure.describe(failure)));
      return false;
    }
  }

  private void complete(ClientExchange exchange) {
    if (ended.compareAndSet(false, true)) {
      cancelDeadlineTimer();
      String connectionOption =
          exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION);
      if (call.newConnection() || "close".equalsIgnoreCase(connectionOption)) {
        IoUtils.safeClose(connection);
      } else {
        String keepAlive = exchange.getResponse().getResponseHeaders().getFirst(Headers.KEEP_ALIVE);
        client.release(call.uri(), connection, keepAliveSeconds(keepAlive));
      }
      listener.onEnd();
    }
  }

  /** Returns the seconds in a header such as {@code timeout=5, max=100}, null if there are none. */
  private static Long keepAliveSeconds(String keepAlive) {
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(keepAlive == null ? "" : keepAlive);
    return matcher.find() ? Long.valueOf(matcher.group(1)) : null;
  }
}
