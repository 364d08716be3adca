package org.sedgeroad.api;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.sedgeroad.live.LiveFailure;

/**
 * Counts the requests in progress and lets callers' connections end without a cut during a planned
 * stop. Thread-safe.
 */
public final class StopHandler implements HttpHandler {
  private static final AttachmentKey<Boolean> CLOSE_LISTENER_ADDED =
      AttachmentKey.create(Boolean.class);

  private final HttpHandler next;
  private final Set<ServerConnection> activeConnections = ConcurrentHashMap.newKeySet();
  private volatile boolean closingConnections;
  private volatile boolean refusingRequests;

  /** Creates a handler that passes requests on. */
  public StopHandler(HttpHandler next) {
    this.next = next;
  }

  /** From now on each answer closes its connection, so that callers open none to this instance. */
  public void closeConnections() {
    closingConnections = true;
  }

  /** From now on each request is refused as not run. */
  public void refuse() {
    refusingRequests = true;
  }

  /** Returns the requests whose answer has not been sent completely. */
  public int active() {
    return activeConnections.size();
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    ServerConnection connection = exchange.getConnection();
    if (connection.getAttachment(CLOSE_LISTENER_ADDED) == null) {
      connection.putAttachment(CLOSE_LISTENER_ADDED, true);
      // A broken connection does not always complete its exchange.
      connection.addCloseListener(activeConnections::remove);
    }
    // A connection of HTTP/1.1 carries one request at a time.
    activeConnections.add(connection);
    exchange.addExchangeCompleteListener(
        (completed, nextListener) -> {
          activeConnections.remove(connection);
          nextListener.proceed();
        });
    // Read after the count: whoever sees a count of 0 after refuse() knows that no request runs.
    if (closingConnections) {
      exchange.setPersistent(false);
    }
    if (refusingRequests) {
      ApiErrors.send(
          exchange, LiveFailure.notRun(503, "stopping", "the instance is stopping"), null);
    } else {
      next.handleRequest(exchange);
    }
  }
}
