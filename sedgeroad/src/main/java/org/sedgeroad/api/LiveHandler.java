package org.sedgeroad.api;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Model;
import org.sedgeroad.live.LiveEventQueue;
import org.sedgeroad.live.LiveFailure;
import org.sedgeroad.live.LiveRequest;
import org.sedgeroad.live.LiveService;
import org.sedgeroad.metric.RequestObserver;
import org.sedgeroad.route.RequestShape;

/** Converts callers' HTTP requests to live requests and serves them. Runs on worker threads. */
final class LiveHandler {
  /** Estimated number of characters per token of a prompt in JSON format. */
  private static final int CHARACTERS_PER_TOKEN = 4;

  /** Estimated output of a request that sets no maximum, in tokens. */
  private static final int DEFAULT_OUTPUT_TOKENS = 128;

  /** Number of leading characters of a prompt whose hash identifies its prefix. */
  private static final int PREFIX_CHARACTERS = 512;

  private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD");

  private final ObjectMapper mapper = new ObjectMapper();
  private final ConfigurationReplica replica;
  private final LiveService service;
  private final MonotonicClock clock;
  private final long timeoutMillis;
  private final RequestObserver observer;

  LiveHandler(
      ConfigurationReplica replica,
      LiveService service,
      MonotonicClock clock,
      long timeoutMillis,
      RequestObserver observer) {
    this.replica = replica;
    this.service = service;
    this.clock = clock;
    this.timeoutMillis = timeoutMillis;
    this.observer = observer;
  }

  /** Serves a completion or chat completion of a model. */
  void serveCompletion(HttpServerExchange exchange, String member)
      throws IOException, InterruptedException {
    byte[] body = RequestBody.of(exchange);
    JsonNode node;
    try {
      node = mapper.readTree(body);
    } catch (JsonProcessingException invalid) {
      ApiErrors.sendInvalid(exchange, null, "not valid JSON: " + invalid.getOriginalMessage());
      return;
    }
    String name = node.path("model").asText("");
    Optional<Model> model = Model.find(replica, name).filter(found -> !found.plain());
    if (model.isEmpty()) {
      ApiErrors.send(
          exchange,
          LiveFailure.notRun(404, "model_not_found", "the model '" + name + "' does not exist"),
          "model");
      return;
    }
    String prompt =
        node.has("prompt") ? node.get("prompt").toString() : node.path("messages").toString();
    int outputTokens =
        node.path("max_tokens")
            .asInt(node.path("max_completion_tokens").asInt(DEFAULT_OUTPUT_TOKENS));
    boolean deterministic = node.has("seed") || node.path("temperature").asDouble(1.0) == 0.0;
    String prefix = prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARACTERS));
    RequestShape shape =
        new RequestShape(
            model.get().service(),
            member,
            ServiceClass.LIVE,
            prompt.length() / CHARACTERS_PER_TOKEN,
            outputTokens,
            Hashing.komihash5_0().hashCharsToLong(prefix),
            fingerprint(member, body),
            isIdempotent(exchange, true),
            Set.of());
    serve(exchange, body, deterministic, shape);
  }

  /** Serves a request to a plain service. */
  void servePlain(HttpServerExchange exchange, String member, Model model)
      throws IOException, InterruptedException {
    byte[] body = RequestBody.of(exchange);
    boolean idempotentMethod = IDEMPOTENT_METHODS.contains(exchange.getRequestMethod().toString());
    RequestShape shape =
        new RequestShape(
            model.service(),
            member,
            ServiceClass.LIVE,
            0,
            1,
            0,
            fingerprint(member + exchange.getRequestURI(), body),
            isIdempotent(exchange, idempotentMethod),
            Set.of());
    serve(exchange, body, false, shape);
  }

  private void serve(
      HttpServerExchange exchange, byte[] body, boolean deterministic, RequestShape shape)
      throws IOException, InterruptedException {
    String query = exchange.getQueryString();
    String path = exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    LiveRequest request =
        new LiveRequest(
            "req-" + UUID.randomUUID(),
            exchange.getRequestMethod().toString(),
            path,
            forwardedHeaders(exchange),
            body,
            header(exchange, "Idempotency-Key"),
            deterministic,
            clock.deadlineAfterMillis(timeoutMillis),
            shape);
    exchange
        .getResponseHeaders()
        .put(new io.undertow.util.HttpString("X-Request-Id"), request.id());
    LiveEventQueue eventQueue = new LiveEventQueue();
    CallerDisconnectListener disconnectListener =
        CallerDisconnectListener.of(exchange.getConnection());
    disconnectListener.setCurrentQueue(eventQueue);
    ObservedSink sink = new ObservedSink(new ExchangeSink(exchange), clock);
    try {
      service.serve(request, eventQueue, sink);
    } finally {
      disconnectListener.clearCurrentQueue();
      observer.requestEnded(sink.toCompletedRequest(shape.member()));
    }
  }

  /**
   * Returns whether a request may be run again: false if its header {@code X-Idempotent} is {@code
   * false}, true if the header has another value, the default if it is missing or blank.
   */
  private static boolean isIdempotent(HttpServerExchange exchange, boolean defaultValue) {
    String value = header(exchange, "X-Idempotent");
    return value.isEmpty() ? defaultValue : !value.equalsIgnoreCase("false");
  }

  /** Returns the value of a request header without surrounding space, empty if it is missing. */
  private static String header(HttpServerExchange exchange, String name) {
    String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? "" : value.strip();
  }

  private static Map<String, String> forwardedHeaders(HttpServerExchange exchange) {
    HeaderMap headers = exchange.getRequestHeaders();
    Map<String, String> forwarded = new LinkedHashMap<>();
    if (headers.contains(Headers.CONTENT_TYPE)) {
      forwarded.put("Content-Type", headers.getFirst(Headers.CONTENT_TYPE));
    }
    if (headers.contains(Headers.ACCEPT)) {
      forwarded.put("Accept", headers.getFirst(Headers.ACCEPT));
    }
    return forwarded;
  }

  /** Returns a hash that is equal for requests with the same body in the same scope. */
  private static String fingerprint(String scope, byte[] body) {
    long scopeHash = Hashing.komihash5_0().hashBytesToLong(scope.getBytes(StandardCharsets.UTF_8));
    long bodyHash = Hashing.komihash5_0().hashBytesToLong(body);
    return Long.toHexString(scopeHash) + Long.toHexString(bodyHash);
  }
}
