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

/**
 * Sends error responses in the JSON format of the callers' API. Each error says in the field {@code
 * work} and, unless it is sent within a stream, in the header {@link WorkState#HEADER} whether the
 * work ran.
 */
final class ApiErrors {
  static final HttpString WORK_STATE = new HttpString(WorkState.HEADER);

  private ApiErrors() {}

  /**
   * Returns the JSON body of an error.
   *
   * @param failure the error
   * @param parameter name of the invalid request parameter, null if there is none
   */
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
    error.put("work", failure.workState().toText());
    return root;
  }

  /**
   * Sends an error as the whole response.
   *
   * @param exchange exchange whose response has not started
   * @param failure the error
   * @param parameter name of the invalid request parameter, null if there is none
   */
  static void send(HttpServerExchange exchange, LiveFailure failure, String parameter) {
    exchange.setStatusCode(failure.status());
    exchange.getResponseHeaders().put(WORK_STATE, failure.workState().toText());
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

  /**
   * Sends a 400 response for an invalid request that was not run.
   *
   * @param exchange exchange whose response has not started
   * @param parameter name of the invalid request parameter, null if there is none
   * @param message description for the caller
   */
  static void sendInvalid(HttpServerExchange exchange, String parameter, String message) {
    send(exchange, LiveFailure.notRun(400, "invalid_request", message), parameter);
  }

  /** Sends a 404 response for a request that was not run. */
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
