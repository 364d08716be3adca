package org.sedgeroad.api;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.time.Instant;
import org.sedgeroad.WorkState;
import org.sedgeroad.live.LiveFailure;

/** Errors in the shape of the callers' API, with the state of the work. */
final class ApiErrors {
  static final HttpString WORK_STATE = new HttpString(WorkState.HEADER);

  private ApiErrors() {}

  static ObjectNode body(LiveFailure failure, String parameter) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    ObjectNode error = root.putObject("error");
    error.put("message", failure.message());
    error.put("type", errorType(failure.status()));
    if (parameter == null) {
      error.putNull("param");
    } else {
      error.put("param", parameter);
    }
    error.put("code", failure.code());
    error.put("work", failure.work().toText());
    return root;
  }

  static void send(HttpServerExchange exchange, LiveFailure failure, String parameter) {
    exchange.setStatusCode(failure.status());
    exchange.getResponseHeaders().put(WORK_STATE, failure.work().toText());
    failure
        .retryAt()
        .ifPresent(
            retryAt ->
                exchange
                    .getResponseHeaders()
                    .put(
                        Headers.RETRY_AFTER,
                        Math.max(1, Duration.between(Instant.now(), retryAt).toSeconds())));
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(body(failure, parameter).toString());
  }

  static void sendInvalid(HttpServerExchange exchange, String parameter, String message) {
    send(exchange, LiveFailure.notRun(400, "invalid_request", message), parameter);
  }

  static void sendNotFound(HttpServerExchange exchange, String message) {
    send(exchange, LiveFailure.notRun(404, "not_found", message), null);
  }

  private static String errorType(int status) {
    return switch (status) {
      case 401 -> "authentication_error";
      case 403 -> "permission_error";
      case 404 -> "not_found_error";
      case 429 -> "rate_limit_error";
      default -> status < 500 ? "invalid_request_error" : "server_error";
    };
  }
}
