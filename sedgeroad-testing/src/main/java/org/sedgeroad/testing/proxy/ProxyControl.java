package org.sedgeroad.testing.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.net.URI;
import org.sedgeroad.testing.http.Answers;
import org.sedgeroad.testing.http.ControlFields;
import org.sedgeroad.testing.http.StandInServer;

/** HTTP server with the control API of a proxy, which changes its faults. */
public final class ProxyControl implements AutoCloseable {
  private final FaultProxy proxy;
  private final StandInServer server;

  private ProxyControl(int port, FaultProxy proxy) {
    this.proxy = proxy;
    this.server = StandInServer.start(port, this::route);
  }

  /** Starts the control API on a port, 0 for any free one; closing it leaves the proxy open. */
  public static ProxyControl start(int port, FaultProxy proxy) {
    return new ProxyControl(port, proxy);
  }

  /** Returns the address, {@code http://127.0.0.1:PORT}. */
  public URI address() {
    return server.address();
  }

  @Override
  public void close() {
    server.close();
  }

  private void route(HttpServerExchange exchange) {
    Answers.receiveObject(exchange, body -> handle(exchange, body));
  }

  private void handle(HttpServerExchange exchange, JsonNode body) {
    String call = exchange.getRequestMethod() + " " + exchange.getRequestPath();
    switch (call) {
      case "GET /control/counters" -> sendCounters(exchange);
      case "POST /control/cut" -> proxy.setDisconnected(body.path("on").asBoolean(true));
      case "POST /control/black-hole" -> proxy.setBlackHole(body.path("on").asBoolean(true));
      case "POST /control/delay" ->
          proxy.setDelays(
              ControlFields.wholeNumber(body, "request_millis", 0),
              ControlFields.wholeNumber(body, "answer_millis", 0));
      case "POST /control/throttle" ->
          proxy.setThrottles(
              ControlFields.wholeNumber(body, "request_bytes_per_second", 0),
              ControlFields.wholeNumber(body, "answer_bytes_per_second", 0));
      case "POST /control/half-open" -> proxy.makeHalfOpen();
      case "POST /control/drop-answers" ->
          proxy.dropAnswers(ControlFields.wholeNumber(body, "next", 1));
      case "POST /control/restore" -> proxy.restore();
      default -> throw new IllegalArgumentException("unknown control call " + call);
    }
    if (call.startsWith("POST")) {
      Answers.send(exchange, 200, Answers.MAPPER.createObjectNode().put("done", true));
    }
  }

  private void sendCounters(HttpServerExchange exchange) {
    ObjectNode root = Answers.MAPPER.createObjectNode();
    root.put("request_bytes", proxy.passedBytes(Direction.REQUEST));
    root.put("answer_bytes", proxy.passedBytes(Direction.ANSWER));
    root.put("open_connections", proxy.openConnections());
    Answers.send(exchange, 200, root);
  }
}
