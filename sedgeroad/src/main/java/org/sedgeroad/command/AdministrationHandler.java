package org.sedgeroad.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;
import org.sedgeroad.burn.BurnReport;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;

/**
 * HTTP handler of the administration API: executes the statements of a request and responds with
 * their results. It also serves the burn report.
 *
 * <p>Statements are executed in order, up to the first one that does not succeed.
 */
public final class AdministrationHandler implements HttpHandler {
  private static final int MAXIMUM_TEXT_BYTES = 1024 * 1024;

  private final CommandExecutor executor;
  private final OperatorToken token;
  private final Executor workers;
  private final Supplier<BurnReport> burnReport;
  private final EventLog log;

  /**
   * Creates a handler.
   *
   * @param workers executor that serves the requests; store calls block its threads
   */
  public AdministrationHandler(
      CommandExecutor executor,
      Supplier<BurnReport> burnReport,
      OperatorToken token,
      Executor workers,
      EventLog log) {
    this.executor = executor;
    this.burnReport = burnReport;
    this.token = token;
    this.workers = workers;
    this.log = log;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    try {
      exchange.dispatch(workers, this::serve);
    } catch (RejectedExecutionException rejected) {
      send(exchange, 503, ResultJson.error("all workers are busy; send the statements again"));
    }
  }

  private void serve(HttpServerExchange exchange) throws IOException {
    exchange.startBlocking();
    if (!isAuthorized(exchange)) {
      return;
    }
    String request = exchange.getRequestMethod() + " " + exchange.getRequestPath();
    switch (request) {
      case "POST /admin/commands" -> executeText(exchange);
      case "GET /admin/burn" -> send(exchange, 200, burnReport.get().toJson());
      default -> send(exchange, 404, ResultJson.error("no such path: " + request));
    }
  }

  private void executeText(HttpServerExchange exchange) throws IOException {
    byte[] body = exchange.getInputStream().readNBytes(MAXIMUM_TEXT_BYTES + 1);
    if (body.length > MAXIMUM_TEXT_BYTES) {
      exchange.setPersistent(false);
      send(exchange, 413, ResultJson.error("the text is longer than 1 MiB; send it in parts"));
      return;
    }
    ParseResult parsed = StatementParser.parse(new String(body, StandardCharsets.UTF_8));
    if (parsed instanceof ParseResult.Parsed valid) {
      send(exchange, 200, execute(valid));
    } else {
      send(exchange, 400, ResultJson.of((ParseResult.Invalid) parsed));
    }
  }

  private boolean isAuthorized(HttpServerExchange exchange) {
    if (!token.isAvailable()) {
      send(
          exchange,
          403,
          ResultJson.error(
              "this instance takes no commands: [operators] token-file is not set,"
                  + " not readable or empty"));
      return false;
    }
    if (!token.matches(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION))) {
      log.log(LogEvent.OPERATOR_REFUSED, EventField.of("source", exchange.getSourceAddress()));
      send(exchange, 401, ResultJson.error("the operator token is missing or wrong"));
      return false;
    }
    return true;
  }

  private ObjectNode execute(ParseResult.Parsed parsed) {
    ObjectNode answer = JsonNodeFactory.instance.objectNode();
    answer.put("statements", parsed.statements().size());
    ArrayNode results = answer.putArray("results");
    for (Statement statement : parsed.statements()) {
      ObjectNode result = ResultJson.of(executeOne(statement));
      results.add(result);
      // Statements can contain keys in plaintext, so only their type is logged.
      log.log(
          LogEvent.COMMAND_EXECUTED,
          EventField.of("statement", statement.getClass().getSimpleName()),
          EventField.of("outcome", result.path("outcome").asText()));
      if (!result.path("outcome").asText().equals("done")) {
        break;
      }
    }
    return answer;
  }

  private CommandResult executeOne(Statement statement) {
    try {
      return executor.execute(statement);
    } catch (RuntimeException failure) {
      log.log(
          LogEvent.REQUEST_ERROR,
          EventField.of("statement", statement.getClass().getSimpleName()),
          EventField.of("cause", failure));
      return new CommandResult.OutcomeUnknown("unexpected error; see the log of this instance");
    }
  }

  private static void send(HttpServerExchange exchange, int status, JsonNode body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(body.toString());
  }
}
