package org.sedgeroad.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests in progress and ends the clients' connections during a planned stop. */
final class GatewayStop implements HttpHandler {
  private final HttpHandler next;
  private final AtomicInteger active = new AtomicInteger();
  private volatile boolean closing;

  GatewayStop(HttpHandler next) {
    this.next = next;
  }

  /** From now on each answer closes its connection. */
  void closeConnections() {
    closing = true;
  }

  int active() {
    return active.get();
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    active.incrementAndGet();
    exchange.addExchangeCompleteListener(
        (completed, others) -> {
          active.decrementAndGet();
          others.proceed();
        });
    if (closing) {
      exchange.setPersistent(false);
    }
    next.handleRequest(exchange);
  }
}
