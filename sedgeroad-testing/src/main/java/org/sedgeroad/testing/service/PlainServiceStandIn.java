package org.sedgeroad.testing.service;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.net.URI;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sedgeroad.testing.http.Answers;
import org.sedgeroad.testing.http.ControlFields;
import org.sedgeroad.testing.http.StandInServer;

/**
 * Stand-in for a plain HTTP service, which answers with a description of the call that it received
 * and counts the executions. Thread-safe.
 */
public final class PlainServiceStandIn implements AutoCloseable {
  private final ExecutionLog log = new ExecutionLog();
  private final StandInServer server;
  private final String name;
  private volatile long delayMillis;
  private volatile boolean draining;

  private PlainServiceStandIn(int port, String name, long delayMillis) {
    this.name = name;
    this.delayMillis = delayMillis;
    this.server = StandInServer.start(port, this::route);
  }

  /** Starts a service on any free port that answers at once. */
  public static PlainServiceStandIn start() {
    return start(0, "service", 0);
  }

  /**
   * Starts a service.
   *
   * @param port port, 0 for any free one
   * @param name name shown in answers
   * @param delayMillis milliseconds between an execution and its answer, at least 0
   */
  public static PlainServiceStandIn start(int port, String name, long delayMillis) {
    return new PlainServiceStandIn(port, name, delayMillis);
  }

  /** Returns the address, {@code http://127.0.0.1:PORT}. */
  public URI address() {
    return server.address();
  }

  /** Sets the milliseconds between an execution and its answer, at least 0. */
  public void setDelay(long millis) {
    delayMillis = millis;
  }

  /**
   * Starts or ends draining. A draining service answers new calls with status 503 and {@code
   * X-Draining: true} and does not execute them.
   */
  public void setDraining(boolean value) {
    draining = value;
  }

  /** Returns the executed calls in order. */
  public List<Execution> executions() {
    return log.executions();
  }

  /** Returns the number of executed calls with the given request id. */
  public int count(String requestId) {
    return log.count(requestId);
  }

  @Override
  public void close() {
    server.close();
  }

  private void route(HttpServerExchange exchange) {
    if (exchange.getRequestPath().startsWith("/control/")) {
      Answers.receiveObject(exchange, body -> control(exchange, body));
    } else {
      Answers.receiveBytes(exchange, body -> execute(exchange, body));
    }
  }

  private void control(HttpServerExchange exchange, JsonNode body) {
    String call = exchange.getRequestMethod() + " " + exchange.getRequestPath();
    switch (call) {
      case "GET /control/history" -> Answers.sendLarge(exchange, log::toJson);
      case "POST /control/delay" -> setDelay(ControlFields.wholeNumber(body, "millis", 0));
      case "POST /control/drain" -> setDraining(body.path("draining").asBoolean(true));
      default -> throw new IllegalArgumentException("unknown control call " + call);
    }
    if (call.startsWith("POST")) {
      Answers.send(exchange, 200, Answers.MAPPER.createObjectNode().put("done", true));
    }
  }

  private void execute(HttpServerExchange exchange, byte[] body) {
    if (draining) {
      exchange.getResponseHeaders().put(new HttpString("X-Draining"), "true");
      Answers.sendError(exchange, 503, "the service is draining");
      return;
    }
    String query = exchange.getQueryString();
    String path = exchange.getRequestPath() + (query.isEmpty() ? "" : "?" + query);
    String requestId = exchange.getRequestHeaders().getFirst("X-Request-Id");
    Execution execution =
        new Execution(
            requestId == null ? "" : requestId,
            exchange.getRequestMethod().toString(),
            path,
            HexFormat.of().toHexDigits(Hashing.xxh3_64().hashBytesToLong(body)),
            Instant.now());
    int count = log.add(execution);
    ObjectNode answer = execution.toJson();
    answer.put("service", name).put("execution", count);
    if (delayMillis == 0) {
      Answers.send(exchange, 200, answer);
    } else {
      exchange
          .getIoThread()
          .executeAfter(
              () -> Answers.send(exchange, 200, answer), delayMillis, TimeUnit.MILLISECONDS);
    }
  }
}
