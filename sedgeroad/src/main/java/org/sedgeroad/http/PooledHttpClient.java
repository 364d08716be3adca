package org.sedgeroad.http;

import io.undertow.client.ClientCallback;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.nio.channels.ClosedSelectorException;
import java.util.Deque;
import java.util.Map;
import java.util.Set;
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
 * Sends HTTP/1.1 requests through the Undertow client and keeps a pool of idle connections for each
 * address. Thread-safe.
 *
 * <p>A connection carries one exchange at a time, so that a late answer is never mistaken for the
 * answer to another request. Cancelling an exchange closes its connection, which tells the server
 * to cancel the work.
 *
 * <p>Connections to a server often stop delivering data together and without a reset. If the
 * deadline of a call passes and its pooled connection has not delivered a byte, the idle
 * connections to the address are therefore closed, except those that have delivered an answer since
 * the call was sent.
 */
public final class PooledHttpClient implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_IDLE_CONNECTIONS_PER_ADDRESS = 64;

  /**
   * Time between two checks of the sizes of answers, in milliseconds; a link of 1 Gbit/s delivers
   * 12 MB in this time.
   */
  private static final long GUARD_INTERVAL_MILLIS = 100;

  private static final int DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;

  /**
   * Time for which an idle connection may be reused if the server does not state its idle timeout,
   * in milliseconds.
   */
  private static final long DEFAULT_IDLE_MILLIS = 4_000;

  /** Time that a blocking call waits beyond its deadline for the I/O thread, in milliseconds. */
  private static final long DEADLINE_GRACE_MILLIS = 1_000;

  private final XnioWorker worker;
  private final ValidatingConnector connector;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, 256, 0);
  private final Map<String, Deque<IdleConnection>> idleByAddress = new ConcurrentHashMap<>();
  private final MonotonicClock clock;
  private final long connectTimeoutMillis;
  private final boolean ownsWorker;
  private final MemoryBudget answerMemory = MemoryBudget.ofHeap();

  /** Exchanges whose request was sent. */
  private final Set<HttpExchange> guarded = ConcurrentHashMap.newKeySet();

  private final Connections pool = new Pool();
  private final Thread guard = new Thread(this::checkSizes, "answer-guard");
  private volatile boolean closed;

  private record IdleConnection(
      ValidatedConnection connection, long releasedNanos, long reusableUntilNanos) {}

  private PooledHttpClient(
      XnioWorker worker, MonotonicClock clock, long connectTimeoutMillis, boolean ownsWorker) {
    this.worker = worker;
    this.connector = new ValidatingConnector(worker);
    this.clock = clock;
    this.connectTimeoutMillis = connectTimeoutMillis;
    this.ownsWorker = ownsWorker;
    guard.setDaemon(true);
    guard.start();
  }

  /**
   * Returns a client that uses the I/O threads of an existing worker. Closing the client does not
   * shut down the worker.
   *
   * @param worker worker whose I/O threads are used
   * @param connectTimeoutMillis maximum wait for a new connection, in milliseconds
   */
  public static PooledHttpClient withWorker(XnioWorker worker, long connectTimeoutMillis) {
    return new PooledHttpClient(worker, MonotonicClock.SYSTEM, connectTimeoutMillis, false);
  }

  /**
   * Returns a client with its own I/O threads, which end when the client is closed.
   *
   * @param ioThreads number of I/O threads, at least 1
   * @throws IllegalStateException if the threads can't be started
   */
  public static PooledHttpClient create(int ioThreads) {
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
      return new PooledHttpClient(
          Xnio.getInstance().createWorker(options),
          MonotonicClock.SYSTEM,
          DEFAULT_CONNECT_TIMEOUT_MILLIS,
          true);
    } catch (IOException failure) {
      throw new IllegalStateException("cannot start HTTP client threads", failure);
    }
  }

  /** Returns the budget for answers that are collected, also by the users of this client. */
  public MemoryBudget answerMemory() {
    return answerMemory;
  }

  /**
   * Sends a request without blocking.
   *
   * @param call the request
   * @param listener receives the answer or the failure
   * @return the exchange; closing it cancels the request
   */
  public HttpExchange start(HttpCall call, HttpListener listener) {
    HttpExchange exchange = new HttpExchange(pool, call, listener, clock);
    ValidatedConnection pooled = call.newConnection() ? null : takeIdle(call.uri());
    try {
      if (pooled != null) {
        pooled.client().getIoThread().execute(() -> exchange.send(pooled, true));
      } else {
        pool.connect(exchange);
      }
    } catch (RejectedExecutionException rejected) {
      exchange.fail(HttpFailure.CLIENT_CLOSING);
    }
    return exchange;
  }

  /**
   * Sends a request without blocking and collects the whole answer.
   *
   * @param call the request
   * @param resultConsumer receives the result, usually on an I/O thread; must not block
   * @return the exchange; closing it cancels the request
   */
  public HttpExchange start(HttpCall call, Consumer<HttpResult> resultConsumer) {
    return start(call, new CollectingListener(resultConsumer, answerMemory));
  }

  /**
   * Sends a request and blocks until the whole answer has arrived or the deadline has passed.
   *
   * <p>An I/O thread enforces the deadline. In case that thread has ended, this method itself stops
   * waiting 1 second after the deadline. If the calling thread is interrupted, the result is a
   * failure and the interrupt flag is set.
   */
  public HttpResult send(HttpCall call) {
    long timeoutMillis =
        (call.deadlineNanos() - clock.nanos()) / 1_000_000L + DEADLINE_GRACE_MILLIS;
    try {
      return sendAsync(call).get(Math.max(0, timeoutMillis), TimeUnit.MILLISECONDS);
    } catch (TimeoutException timedOut) {
      return new HttpResult.Failed(new HttpFailure.Broken("the client was closed"));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return new HttpResult.Failed(new HttpFailure.Broken("interrupted"));
    } catch (ExecutionException impossible) {
      throw new IllegalStateException("an exchange always has a result", impossible.getCause());
    }
  }

  /**
   * Sends a request without blocking and returns a future of the result.
   *
   * @return a future that completes at the deadline at the latest, unless the I/O threads end
   *     before; a failed exchange completes it normally, with {@link HttpResult.Failed}
   */
  public CompletableFuture<HttpResult> sendAsync(HttpCall call) {
    CompletableFuture<HttpResult> result = new CompletableFuture<>();
    start(call, result::complete);
    return result;
  }

  private void checkSizes() {
    while (!closed) {
      try {
        Thread.sleep(GUARD_INTERVAL_MILLIS);
      } catch (InterruptedException interrupted) {
        return;
      }
      for (HttpExchange exchange : guarded) {
        if (exchange.hasEnded()) {
          guarded.remove(exchange);
        } else {
          exchange.checkSize();
        }
      }
    }
  }

  @Override
  public void close() {
    closed = true;
    guard.interrupt();
    idleByAddress
        .values()
        .forEach(
            connections ->
                connections.forEach(entry -> IoUtils.safeClose(entry.connection().client())));
    if (ownsWorker) {
      worker.shutdownNow();
    }
  }

  /**
   * Closes the idle connections to the server of an address, so that the next calls use new ones.
   * Exchanges in progress continue.
   *
   * @param uri any address on the server
   */
  public void closeIdle(URI uri) {
    pool.closeIdle(uri, clock.nanos());
  }

  /** Removes and returns a reusable connection of the pool, null if there is none. */
  private ValidatedConnection takeIdle(URI uri) {
    Deque<IdleConnection> connections = idleByAddress.get(uri.getAuthority());
    if (connections == null) {
      return null;
    }
    IdleConnection next = connections.poll();
    while (next != null) {
      if (next.connection().client().isOpen() && !clock.hasPassed(next.reusableUntilNanos())) {
        return next.connection();
      }
      IoUtils.safeClose(next.connection().client());
      next = connections.poll();
    }
    return null;
  }

  /** The pool as used by exchanges. */
  private final class Pool implements Connections {
    @Override
    public void connect(HttpExchange exchange) {
      exchange.startConnectTimer(connectTimeoutMillis, worker.getIoThread());
      try {
        connector.connect(
            exchange.call().uri(),
            buffers,
            new ClientCallback<>() {
              @Override
              public void completed(ValidatedConnection opened) {
                opened.client().getIoThread().execute(() -> exchange.send(opened, false));
              }

              @Override
              public void failed(IOException failure) {
                exchange.fail(new HttpFailure.NotSent(HttpFailure.describe(failure)));
              }
            });
      } catch (ClosedSelectorException closing) {
        // Closing the client ends the I/O threads while the connection is being registered.
        throw new RejectedExecutionException(closing);
      }
    }

    @Override
    public void release(URI uri, ValidatedConnection connection, Long serverIdleSeconds) {
      Deque<IdleConnection> connections =
          idleByAddress.computeIfAbsent(uri.getAuthority(), key -> new ConcurrentLinkedDeque<>());
      // One second less than the server states, because a request that is sent later could arrive
      // after the server has closed the connection.
      long reusableMillis =
          serverIdleSeconds == null ? DEFAULT_IDLE_MILLIS : (serverIdleSeconds - 1) * 1_000L;
      if (connection.client().isOpen()
          && reusableMillis > 0
          && connections.size() < MAX_IDLE_CONNECTIONS_PER_ADDRESS) {
        connections.push(
            new IdleConnection(
                connection, clock.nanos(), clock.deadlineAfterMillis(reusableMillis)));
      } else {
        IoUtils.safeClose(connection.client());
      }
    }

    @Override
    public void closeIdle(URI uri, long untilNanos) {
      Deque<IdleConnection> connections = idleByAddress.get(uri.getAuthority());
      if (connections == null) {
        return;
      }
      for (IdleConnection entry : connections) {
        // Another thread may take the connection at the same time.
        if (entry.releasedNanos() - untilNanos <= 0 && connections.remove(entry)) {
          IoUtils.safeClose(entry.connection().client());
        }
      }
    }

    @Override
    public void guard(HttpExchange exchange) {
      guarded.add(exchange);
    }

    @Override
    public ByteBufferPool buffers() {
      return buffers;
    }
  }
}
