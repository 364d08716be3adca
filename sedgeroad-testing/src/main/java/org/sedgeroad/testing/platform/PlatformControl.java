package org.sedgeroad.testing.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.sedgeroad.Endpoint;
import org.sedgeroad.testing.http.Answers;
import org.sedgeroad.testing.http.ControlFields;

/** Serves the control API of the platform stand-in. */
final class PlatformControl {
  private final PlatformStandIn platform;

  PlatformControl(PlatformStandIn platform) {
    this.platform = platform;
  }

  void handle(HttpServerExchange exchange) {
    Answers.receiveObject(
        exchange,
        body -> {
          String call = exchange.getRequestMethod() + " " + exchange.getRequestPath();
          switch (call) {
            case "GET /control/history" -> sendHistory(exchange);
            case "GET /control/counters" -> Answers.send(exchange, 200, platform.counters());
            case "POST /control/rate" ->
                platform.limitRates(
                    ControlFields.number(body, "writes_per_second", 0),
                    ControlFields.number(body, "reads_per_second", 0));
            case "POST /control/outage" -> setOutage(body);
            case "POST /control/delay" ->
                platform.setDelay(
                    ControlFields.wholeNumber(body, "millis", 0),
                    ControlFields.wholeNumber(body, "jitter_millis", 0));
            case "POST /control/lose-answers" ->
                platform.loseAnswers(
                    ControlFields.wholeNumber(body, "next", 0),
                    ControlFields.number(body, "probability", 0),
                    ControlFields.text(body, "kind", ""),
                    body.path("hang").asBoolean());
            case "POST /control/instances" -> changeInstances(body);
            case "POST /control/forget" ->
                platform.discardChanges((int) ControlFields.wholeNumber(body, "keep", 0));
            case "POST /control/cut-watches" -> platform.cutWatches();
            default -> throw new IllegalArgumentException("unknown control call " + call);
          }
          if (call.startsWith("POST")) {
            Answers.send(exchange, 200, Answers.MAPPER.createObjectNode().put("done", true));
          }
        });
  }

  private void setOutage(JsonNode body) {
    String name = ControlFields.requiredText(body, "mode").toUpperCase(Locale.ROOT);
    OutageMode mode = OutageMode.valueOf(name);
    boolean includeInstances = body.path("instances").asBoolean();
    long millis = ControlFields.wholeNumber(body, "for_millis", 0);
    if (mode == OutageMode.REFUSE && millis == 0) {
      throw new IllegalArgumentException("refuse needs for_millis: it refuses control calls too");
    }
    if (mode == OutageMode.REFUSE) {
      platform.refuseAfterAnswer(includeInstances, millis);
    } else if (millis > 0) {
      platform.setOutageFor(mode, includeInstances, millis);
    } else {
      platform.setOutage(mode, includeInstances);
    }
  }

  private void changeInstances(JsonNode body) {
    if (body.has("lag_millis")) {
      platform.setInstanceLag(ControlFields.wholeNumber(body, "lag_millis", 0));
    }
    List<Endpoint> added = new ArrayList<>();
    body.path("set").forEach(entry -> added.add(InstanceEntry.parse(entry)));
    List<String> removed = new ArrayList<>();
    body.path("remove").forEach(name -> removed.add(name.asText()));
    if (!added.isEmpty() || !removed.isEmpty()) {
      platform.changeInstances(added, removed);
    }
  }

  private void sendHistory(HttpServerExchange exchange) {
    long since = ControlFields.queryNumber(exchange, "since", 0);
    Answers.sendLarge(
        exchange,
        () -> {
          ObjectNode root = Answers.MAPPER.createObjectNode();
          ArrayNode writes = root.putArray("writes");
          platform.acceptedWrites(since).forEach(write -> writes.add(write.toJson()));
          return root;
        });
  }
}
