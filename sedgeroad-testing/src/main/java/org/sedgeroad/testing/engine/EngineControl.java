package org.sedgeroad.testing.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import org.sedgeroad.testing.http.Answers;
import org.sedgeroad.testing.http.ControlFields;

/** Serves the control API of the engine stand-in. */
final class EngineControl {
  private final EngineStandIn engine;

  EngineControl(EngineStandIn engine) {
    this.engine = engine;
  }

  void handle(HttpServerExchange exchange) {
    Answers.receiveObject(
        exchange,
        body -> {
          String call = exchange.getRequestMethod() + " " + exchange.getRequestPath();
          switch (call) {
            case "GET /control/history" -> sendHistory(exchange);
            case "POST /control/speed" ->
                engine.setSlowdown(ControlFields.number(body, "slowdown", 1));
            case "POST /control/drain" -> engine.setDraining(body.path("draining").asBoolean(true));
            case "POST /control/crash" ->
                engine.crashAfterAnswer(ControlFields.wholeNumber(body, "millis", 1_000));
            default -> throw new IllegalArgumentException("unknown control call " + call);
          }
          if (call.startsWith("POST")) {
            Answers.send(exchange, 200, Answers.MAPPER.createObjectNode().put("done", true));
          }
        });
  }

  private void sendHistory(HttpServerExchange exchange) {
    long since = ControlFields.queryNumber(exchange, "since", 0);
    int limit = (int) ControlFields.queryNumber(exchange, "limit", Integer.MAX_VALUE);
    Answers.sendLarge(
        exchange,
        () -> {
          ObjectNode root = Answers.MAPPER.createObjectNode();
          ArrayNode events = root.putArray("events");
          engine.history(since).stream().limit(limit).forEach(event -> events.add(event.toJson()));
          return root;
        });
  }
}
