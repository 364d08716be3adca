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
  private static final AttachmentKey<Boolean> WATCHED = AttachmentKey.create(Boolean.class);

  private final HttpHandler next;
  private final Set<ServerConnection> active = ConcurrentHashMap.newKeySet();
  private volatile boolean closing;
  private volatile boolean refusing;

  /** Creates a handler that passes requests on. */
  public StopHandler(HttpHandler next) {
    this.next = next;
  }

  /** From now on each answer closes its connection, so that callers open none to this instance. */
  public void closeConnections() {
    closing = true;
  }

  /** From now on each request is refused as not run. */
  public void refuse() {
    refusing = true;
  }

  /** Returns the requests whose answer has not been sent completely. */
  public int active() {
    return active.size();
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    ServerConnection connection = exchange.getConnection();
    if (connection.getAttachment(WATCHED) == null) {
      connection.putAttachment(WATCHED, true);
      // A broken connection does not always complete its exchange.
      connection.addCloseListener(active::remove);
    }
    // A connection of HTTP/1.1 carries one request at a time.
    active.add(connection);
    exchange.addExchangeCompleteListener(
        (completed, others) -> {
          active.remove(connection);
          others.proceed();
        });
    // Read after the count: whoever sees a count of 0 after refuse() knows that no request runs.
    if (closing) {
      exchange.setPersistent(false);
    }
    if (refusing) {
      ApiErrors.send(
          exchange, LiveFailure.notRun(503, "stopping", "the instance is stopping"), null);
    } else {
      next.handleRequest(exchange);
    }
  }
}
