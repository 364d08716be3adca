package org.sedgeroad.testing.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.xnio.IoUtils;

/** Static methods that read JSON requests and send JSON answers without blocking. */
public final class Answers {
  /** Shared mapper; thread-safe as long as its configuration is not changed. */
  public static final ObjectMapper MAPPER = new ObjectMapper();

  private Answers() {}

  /**
   * Returns a tree as JSON text in UTF-8.
   *
   * @throws IllegalArgumentException if the tree can't be written as JSON
   */
  public static byte[] toBytes(JsonNode tree) {
    try {
      return MAPPER.writeValueAsBytes(tree);
    } catch (JsonProcessingException failure) {
      throw new IllegalArgumentException("tree can't be written as JSON", failure);
    }
  }

  /**
   * Reads the whole request body and passes it to a receiver on an I/O thread. The exchange stays
   * open until an answer is sent.
   */
  public static void receiveBytes(HttpServerExchange exchange, Consumer<byte[]> receiver) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) ->
                received.dispatch(SameThreadExecutor.INSTANCE, () -> receiver.accept(body)));
  }

  /**
   * Reads a JSON object and passes it to a receiver on an I/O thread; an empty body counts as an
   * empty object. Answers with status 400 if the body is something else or if the receiver throws
   * an {@link IllegalArgumentException}.
   */
  public static void receiveObject(HttpServerExchange exchange, Consumer<ObjectNode> receiver) {
    receiveBytes(
        exchange,
        body -> {
          JsonNode tree;
          try {
            tree = body.length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(body);
          } catch (IOException failure) {
            sendError(exchange, 400, "body is not JSON: " + failure.getMessage());
            return;
          }
          if (tree instanceof ObjectNode object) {
            try {
              receiver.accept(object);
            } catch (IllegalArgumentException failure) {
              sendError(exchange, 400, String.valueOf(failure.getMessage()));
            }
          } else {
            sendError(exchange, 400, "body is not a JSON object");
          }
        });
  }

  /** Sends a JSON answer; may be called on any thread. */
  public static void send(HttpServerExchange exchange, int status, JsonNode body) {
    byte[] bytes = toBytes(body);
    onIoThread(
        exchange,
        () -> {
          exchange.setStatusCode(status);
          exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
          exchange.getResponseSender().send(ByteBuffer.wrap(bytes));
        });
  }

  /**
   * Builds a large answer on a worker thread, so that the work does not delay the streams of the
   * I/O thread, and sends it with status 200.
   */
  public static void sendLarge(HttpServerExchange exchange, Supplier<JsonNode> body) {
    exchange.getConnection().getWorker().execute(() -> send(exchange, 200, body.get()));
  }

  /** Sends an error in the format of the OpenAI API; may be called on any thread. */
  public static void sendError(HttpServerExchange exchange, int status, String message) {
    ObjectNode body = MAPPER.createObjectNode();
    ObjectNode error = body.putObject("error");
    error.put("message", message);
    error.put("type", status < 500 ? "invalid_request_error" : "server_error");
    error.put("code", status);
    send(exchange, status, body);
  }

  /** Closes the connection without an answer; may be called on any thread. */
  public static void drop(HttpServerExchange exchange) {
    onIoThread(exchange, () -> IoUtils.safeClose(exchange.getConnection()));
  }

  /**
   * Runs a step on the exchange's I/O thread: at once if that is the calling thread, otherwise
   * later, unless the connection has closed by then.
   */
  private static void onIoThread(HttpServerExchange exchange, Runnable step) {
    if (exchange.isInIoThread()) {
      step.run();
    } else {
      exchange
          .getIoThread()
          .execute(
              () -> {
                if (exchange.getConnection().isOpen()) {
                  step.run();
                }
              });
    }
  }
}
