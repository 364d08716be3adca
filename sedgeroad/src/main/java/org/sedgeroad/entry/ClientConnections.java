package org.sedgeroad.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.sedgeroad.MonotonicClock;
import org.xnio.IoUtils;

/**
 * Counts the requests in progress and closes client connections that have been idle for too long,
 * or all of them during a planned stop. Thread-safe.
 */
final class ClientConnections implements HttpHandler {
  private static final AttachmentKey<Boolean> CLOSE_LISTENER_ADDED =
      AttachmentKey.create(Boolean.class);

  private final HttpHandler next;
  private final MonotonicClock clock;

  /** All open connections, with the monotonic time at which a request last started or ended. */
  private final Map<ServerConnection, Long> lastUsedNanos = new ConcurrentHashMap<>();

  private final Set<ServerConnection> busy = ConcurrentHashMap.newKeySet();
  private volatile boolean closing;

  ClientConnections(HttpHandler next, MonotonicClock clock) {
    this.next = next;
    this.clock = clock;
  }

  /** Closes each connection after its next answer from now on. */
  void closeAfterAnswers() {
    closing = true;
  }

  /**
   * Closes the connections on which no request has been in progress since a time. Must run on the
   * event loop, so that no request is read meanwhile.
   *
   * @param nanos monotonic time in nanoseconds
   */
  void closeIdleSince(long nanos) {
    Set<ServerConnection> idle = new HashSet<>();
    lastUsedNanos.forEach(
        (connection, lastNanos) -> {
          if (lastNanos - nanos <= 0 && !busy.contains(connection)) {
            idle.add(connection);
          }
        });
    idle.forEach(IoUtils::safeClose);
  }

  /** Returns the number of requests in progress. */
  int active() {
    return busy.size();
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    ServerConnection connection = exchange.getConnection();
    if (connection.getAttachment(CLOSE_LISTENER_ADDED) == null) {
      connection.putAttachment(CLOSE_LISTENER_ADDED, true);
      connection.addCloseListener(
          closed -> {
            lastUsedNanos.remove(closed);
            // A broken connection does not always complete its exchange.
            busy.remove(closed);
          });
    }
    lastUsedNanos.put(connection, clock.nanos());
    // An HTTP/1.1 connection carries one request at a time.
    busy.add(connection);
    exchange.addExchangeCompleteListener(
        (completed, nextListener) -> {
          lastUsedNanos.computeIfPresent(connection, (same, started) -> clock.nanos());
          busy.remove(connection);
          nextListener.proceed();
        });
    if (closing) {
      exchange.setPersistent(false);
    }
    next.handleRequest(exchange);
  }
}
