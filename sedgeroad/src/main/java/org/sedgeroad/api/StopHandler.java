package org.sedgeroad.api;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.sedgeroad.live.LiveFailure;

/**
 * Drains callers' connections during a planned stop: counts the requests in progress, closes
 * connections only after a response, and refuses requests at the end. Thread-safe.
 */
public final class StopHandler implements HttpHandler {
  private static final AttachmentKey<Boolean> CLOSE_LISTENER_ADDED =
      AttachmentKey.create(Boolean.class);

  private final HttpHandler next;
  private final Set<ServerConnection> activeConnections = ConcurrentHashMap.newKeySet();
  private volatile boolean closingConnections;
  private volatile boolean refusingRequests;

  /** Creates a handler that passes requests to the next one. */
  public StopHandler(HttpHandler next) {
    this.next = next;
  }

  /**
   * Closes each connection after its next response from now on, so that callers reconnect to other
   * instances.
   */
  public void closeConnections() {
    closingConnections = true;
  }

  /** Refuses each new request from now on with a 503 response that says that it was not run. */
  public void refuseRequests() {
    refusingRequests = true;
  }

  /** Returns the number of requests whose response has not been sent completely. */
  public int activeRequests() {
    return activeConnections.size();
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    ServerConnection connection = exchange.getConnection();
    if (connection.getAttachment(CLOSE_LISTENER_ADDED) == null) {
      connection.putAttachment(CLOSE_LISTENER_ADDED, true);
      // Undertow does not always complete the exchange of a broken connection.
      connection.addCloseListener(activeConnections::remove);
    }
    // An HTTP/1.1 connection carries one request at a time, so counting connections is enough.
    activeConnections.add(connection);
    exchange.addExchangeCompleteListener(
        (completed, nextListener) -> {
          activeConnections.remove(connection);
          nextListener.proceed();
        });
    // The flags are read only after the request is counted. So if the count is 0 after a call to
    // refuseRequests(), no request is running and none can start.
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
