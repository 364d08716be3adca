package org.sedgeroad.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.Map;

/** Serves requests of other instances for changes of objects; passes on all other requests. */
final class PeerChangesHandler implements HttpHandler {
  /** Longest time for which a request is held, in milliseconds; the store has the same limit. */
  private static final long MAXIMUM_WAIT_MILLIS = 30_000;

  private final Map<String, ChangeHistory> histories;
  private final HttpHandler next;

  PeerChangesHandler(Map<String, ChangeHistory> histories, HttpHandler next) {
    this.histories = histories;
    this.next = next;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    if (exchange.getRequestPath().equals(HttpPeerChanges.PATH)) {
      // Histories call back on this event loop, so the response is sent on this thread.
      exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handle(exchange));
    } else {
      next.handleRequest(exchange);
    }
  }

  private void handle(HttpServerExchange exchange) {
    ChangeHistory history = histories.get(PeerResponses.parameter(exchange, "kind", ""));
    if (history == null) {
      PeerResponses.send(exchange, StatusCodes.NOT_FOUND, new byte[0]);
      return;
    }
    long after = Long.parseLong(PeerResponses.parameter(exchange, "after", "0"));
    long wait = Long.parseLong(PeerResponses.parameter(exchange, "wait_millis", "0"));
    history.read(after, Math.min(MAXIMUM_WAIT_MILLIS, wait), answer -> send(exchange, answer));
  }

  private static void send(HttpServerExchange exchange, PeerChanges.Answer answer) {
    if (answer instanceof PeerChanges.Answer.Changes changes) {
      PeerResponses.send(exchange, HttpPeerChanges.OK, HttpPeerChanges.encode(changes));
    } else if (answer instanceof PeerChanges.Answer.Expired) {
      PeerResponses.send(exchange, HttpPeerChanges.GONE, new byte[0]);
    } else {
      PeerResponses.send(exchange, StatusCodes.SERVICE_UNAVAILABLE, new byte[0]);
    }
  }
}
