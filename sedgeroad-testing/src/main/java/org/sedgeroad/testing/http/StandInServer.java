package org.sedgeroad.testing.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * An HTTP server on 127.0.0.1 that can drop its connections and refuse new ones for a time.
 *
 * <p>The handler runs on I/O threads and must not block.
 */
public final class StandInServer implements AutoCloseable {
  private final XnioWorker worker;
  private final HttpHandler handler;
  private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
  private final int port;
  private Undertow undertow;
  private boolean closed;

  private StandInServer(int port, HttpHandler handler) throws IOException {
    this.handler = handler;
    this.worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 2)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 2)
                    .set(Options.WORKER_NAME, "stand-in")
                    .set(Options.THREAD_DAEMON, true)
                    .getMap());
    this.undertow = listen(port);
    InetSocketAddress bound =
        (InetSocketAddress) undertow.getListenerInfo().iterator().next().getAddress();
    this.port = bound.getPort();
  }

  /**
   * Starts a server.
   *
   * @param port port, 0 for any free one
   * @param handler non-blocking handler of all requests
   * @throws IllegalStateException if the server threads can't be started
   * @throws RuntimeException if the port can't be bound
   */
  public static StandInServer start(int port, HttpHandler handler) {
    try {
      return new StandInServer(port, handler);
    } catch (IOException failure) {
      throw new IllegalStateException("cannot start server threads", failure);
    }
  }

  /** Returns the address, {@code http://127.0.0.1:PORT}. */
  public URI address() {
    return URI.create("http://127.0.0.1:" + port);
  }

  /**
   * Drops connections as {@link #dropConnections} does, and refuses new ones until {@link
   * #acceptConnections}.
   */
  public synchronized void refuseConnections() {
    if (undertow != null) {
      undertow.stop();
      undertow = null;
    }
    dropConnections();
  }

  /**
   * Accepts connections again on the same port; no effect if they are accepted already or the
   * server is closed.
   */
  public synchronized void acceptConnections() {
    if (undertow == null && !closed) {
      undertow = listen(port);
    }
  }

  /**
   * Closes all open connections that have carried at least one request, without sending answers.
   */
  public void dropConnections() {
    connections.forEach(IoUtils::safeClose);
  }

  @Override
  public synchronized void close() {
    closed = true;
    refuseConnections();
    worker.shutdownNow();
  }

  private Undertow listen(int requestedPort) {
    Undertow started =
        Undertow.builder()
            .setWorker(worker)
            .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
            .setSocketOption(Options.TCP_NODELAY, true)
            .addHttpListener(requestedPort, "127.0.0.1", this::track)
            .build();
    started.start();
    return started;
  }

  private void track(HttpServerExchange exchange) throws Exception {
    ServerConnection connection = exchange.getConnection();
    if (connections.add(connection)) {
      connection.addCloseListener(connections::remove);
    }
    handler.handleRequest(exchange);
  }
}
