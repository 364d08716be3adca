package org.sedgeroad.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.IoUtils;

/**
 * Counts the requests in progress and ends the clients' connections during a planned stop.
 * Thread-safe.
 */
final class GatewayStop implements HttpHandler {
  private static final AttachmentKey<Boolean> KNOWN = AttachmentKey.create(Boolean.class);

  private final HttpHandler next;
  private final Set<ServerConnection> open = ConcurrentHashMap.newKeySet();
  private final Set<ServerConnection> busy = ConcurrentHashMap.newKeySet();
  private volatile boolean closing;

  GatewayStop(HttpHandler next) {
    this.next = next;
  }

  /** From now on each answer closes its connection. */
  void closeConnections() {
    closing = true;
  }

  /**
   * Closes the connections without a request in progress. Runs on the event loop, so that no
   * request is read meanwhile.
   */
  void closeIdleConnections() {
    Set<ServerConnection> idle = new HashSet<>(open);
    idle.removeAll(busy);
    idle.forEach(IoUtils::safeClose);
  }

  int active() {
    return busy.size();
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    ServerConnection connection = exchange.getConnection();
    if (connection.getAttachment(KNOWN) == null) {
      connection.putAttachment(KNOWN, true);
      open.add(connection);
      connection.addCloseListener(
          closed -> {
            open.remove(closed);
            // A broken connection does not always complete its exchange.
            busy.remove(closed);
          });
    }
    // A connection of HTTP/1.1 carries one request at a time.
    busy.add(connection);
    exchange.addExchangeCompleteListener(
        (completed, others) -> {
          busy.remove(connection);
          others.proceed();
        });
    if (closing) {
      exchange.setPersistent(false);
    }
    next.handleRequest(exchange);
  }
}
