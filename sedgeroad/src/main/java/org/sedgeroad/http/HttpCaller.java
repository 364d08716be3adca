package org.sedgeroad.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.sedgeroad.MonotonicClock;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Sends HTTP/1.1 requests through the Undertow client with a pool of idle connections per address.
 *
 * <p>One connection carries one exchange at a time, so that a late answer can never be taken for
 * the answer to another request. Closing an exchange closes its connection, which tells the server
 * to cancel the work.
 */
public final class HttpCaller implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_IDLE_CONNECTIONS_PER_ADDRESS = 64;
  private static final int DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Time for which an idle connection is used again if the server names none, in milliseconds. */
  private static final long DEFAULT_IDLE_MILLIS = 4_000;

  /** Time that an I/O thread may be late with a deadline, in milliseconds. */
  private static final long DEADLINE_GRACE_MILLIS = 1_000;

  private final XnioWorker worker;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, 256, 0);
  private final Map<String, Deque<IdleConnection>> idleByAddress = new ConcurrentHashMap<>();
  private final MonotonicClock clock;
  private final long connectTimeoutMillis;
  private final boolean ownsWorker;

  private record IdleConnection(ClientConnection connection, long reusableUntilNanos) {}

  private HttpCaller(
      XnioWorker worker, MonotonicClock clock, long connectTimeoutMillis, boolean ownsWorker) {
    this.worker = worker;
    this.clock = clock;
    this.connectTimeoutMillis = connectTimeoutMillis;
    this.ownsWorker = ownsWorker;
  }

  /**
   * Returns a caller on the I/O threads of a worker, which is not closed with it.
   *
   * @param worker the worker
   * @param connectTimeoutMillis longest wait for a connection, in milliseconds
   */
  public static HttpCaller on(XnioWorker worker, long connectTimeoutMillis) {
    return new HttpCaller(worker, MonotonicClock.SYSTEM, connectTimeoutMillis, false);
  }

  /**
   * Returns a caller with its own I/O threads.
   *
   * @param ioThreads number of I/O threads, at least 1
   * @throws IllegalStateException if the threads can't be started
   */
  public static HttpCaller create(int ioThreads) {
    try {
      OptionMap options =
          OptionMap.builder()
              .set(Options.WORKER_IO_THREADS, ioThreads)
              .set(Options.WORKER_TASK_CORE_THREADS, 1)
              .set(Options.WORKER_TASK_MAX_THREADS, 2)
              .set(Options.TCP_NODELAY, true)
              .set(Options.WORKER_NAME, "http-caller")
              .set(Options.THREAD_DAEMON, true)
              .getMap();
      return new HttpCaller(
          Xnio.getInstance().createWorker(options),
          MonotonicClock.SYSTEM,
          DEFAULT_CONNECT_TIMEOUT_MILLIS,
          true);
    } catch (IOException failure) {
      throw new IllegalStateException("cannot start HTTP client threads", failure);
    }
  }

  // -----------------------------------------------------------------------

  /** Starts a call; the listener receives the answer. Closing the result cancels the exchange. */
  public HttpExchange start(HttpCall call, HttpListener listener) {
    HttpExchange exchange = new HttpExchange(this, call, listener, clock);
    ClientConnection pooled = call.newConnection() ? null : takeIdle(call.uri());
    try {
      if (pooled != null) {
        pooled.getIoThread().execute(() -> exchange.send(pooled, true));
      } else {
        connect(exchange);
      }
    } catch (RejectedExecutionException rejected) {
      exchange.fail(HttpFailure.CLIENT_CLOSING);
    }
    return exchange;
  }

  /** Starts a call whose result is passed on as a whole, on an I/O thread. */
  public HttpExchange start(HttpCall call, Consumer<HttpResult> resultConsumer) {
    return start(call, new CollectingListener(resultConsumer));
  }

  /**
   * Sends a call and waits for the whole answer, at most until the call's deadline.
   *
   * <p>The deadline is kept by an I/O thread; one that has ended keeps none, so that the wait has a
   * bound of its own.
   */
  public HttpResult send(HttpCall call) {
    long timeoutMillis =
        (call.deadlineNanos() - clock.nanos()) / 1_000_000L + DEADLINE_GRACE_MILLIS;
    try {
      return sendLater(call).get(Math.max(0, timeoutMillis), TimeUnit.MILLISECONDS);
    } catch (TimeoutException timedOut) {
      return new HttpResult.Failed(new HttpFailure.Broken("the client was closed"));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return new HttpResult.Failed(new HttpFailure.Broken("interrupted"));
    } catch (ExecutionException failure) {
      throw new IllegalStateException("the listener failed", failure.getCause());
    }
  }

  /** Sends a call; the future completes normally, at the latest at the call's deadline. */
  public CompletableFuture<HttpResult> sendLater(HttpCall call) {
    CompletableFuture<HttpResult> result = new CompletableFuture<>();
    start(call, result::complete);
    return result;
  }

  @Override
  public void close() {
    idleByAddress
        .values()
        .forEach(
            connections -> connections.forEach(entry -> IoUtils.safeClose(entry.connection())));
    if (ownsWorker) {
      worker.shutdownNow();
    }
  }

  // -----------------------------------------------------------------------

  void connect(HttpExchange exchange) {
    OptionMap options =
        OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(io.undertow.UndertowOptions.MAX_HEADER_SIZE, 64 * 1024)
            .getMap();
    exchange.startConnectTimer(connectTimeoutMillis, worker.getIoThread());
    UndertowClient.getInstance()
        .connect(
            new ClientCallback<>() {
              @Override
              public void completed(ClientConnection connection) {
                connection.getIoThread().execute(() -> exchange.send(connection, false));
              }

              @Override
              public void failed(IOException failure) {
                exchange.fail(new HttpFailure.NotSent(HttpFailure.describe(failure)));
              }
            },
            exchange.call().uri(),
            worker,
            buffers,
            options);
  }

  /** Keeps a connection for another call, for as long as the server says or a default. */
  void release(URI uri, ClientConnection connection, Long serverIdleSeconds) {
    Deque<IdleConnection> connections =
        idleByAddress.computeIfAbsent(uri.getAuthority(), key -> new ConcurrentLinkedDeque<>());
    // The last second is left out, because a request could cross the server's close.
    long reusableMillis =
        serverIdleSeconds == null ? DEFAULT_IDLE_MILLIS : (serverIdleSeconds - 1) * 1_000L;
    if (connection.isOpen()
        && reusableMillis > 0
        && connections.size() < MAX_IDLE_CONNECTIONS_PER_ADDRESS) {
      connections.push(new IdleConnection(connection, clock.deadlineAfterMillis(reusableMillis)));
    } else {
      IoUtils.safeClose(connection);
    }
  }

  ByteBufferPool buffers() {
    return buffers;
  }

  private ClientConnection takeIdle(URI uri) {
    Deque<IdleConnection> connections = idleByAddress.get(uri.getAuthority());
    if (connections == null) {
      return null;
    }
    IdleConnection next = connections.poll();
    while (next != null) {
      if (next.connection().isOpen() && !clock.hasPassed(next.reusableUntilNanos())) {
        return next.connection();
      }
      IoUtils.safeClose(next.connection());
      next = connections.poll();
    }
    return null;
  }
}
