package org.sedgeroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

/** Sends JSON responses. */
final class Json {
  private Json() {}

  static void send(HttpServerExchange exchange, JsonNode body) {
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(body.toString());
  }
}
