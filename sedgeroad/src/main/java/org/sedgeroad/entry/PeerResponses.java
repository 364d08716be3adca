package org.sedgeroad.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.Deque;

/** Reads requests of other instances and answers them. */
final class PeerResponses {
  private PeerResponses() {}

  /** Returns the first value of a query parameter, the default value without one. */
  static String parameter(HttpServerExchange exchange, String name, String defaultValue) {
    Deque<String> values = exchange.getQueryParameters().get(name);
    return values == null || values.isEmpty() ? defaultValue : values.getFirst();
  }

  /** Sends a complete answer. */
  static void send(HttpServerExchange exchange, int status, byte[] body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
    exchange.getResponseSender().send(ByteBuffer.wrap(body));
  }
}
