package org.sedgeroad.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Set;
import java.util.function.Function;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpFailure;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.http.PooledHttpClient;

/**
 * Sends HTTP requests with JSON bodies to a store of versioned objects and interprets the answers.
 * Thread-safe.
 */
public final class JsonStoreCalls {
  /** Statuses that depend on the content of the call alone. */
  private static final Set<Integer> CONTENT_REFUSALS = Set.of(400, 413, 414, 422, 431);

  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final ObjectMapper mapper = new ObjectMapper();
  private final LenientJson json = new LenientJson();
  private final PooledHttpClient httpClient;
  private final MonotonicClock clock;
  private final long timeoutMillis;
  private final long defaultRetryMillis;

  /**
   * Creates an object that sends calls with the given client.
   *
   * @param httpClient HTTP client
   * @param clock monotonic clock
   * @param timeoutMillis maximum wait for an answer, in milliseconds
   * @param defaultRetryMillis retry delay for a rate-limited call whose answer has no {@code
   *     Retry-After} header, in milliseconds
   */
  public JsonStoreCalls(
      PooledHttpClient httpClient,
      MonotonicClock clock,
      long timeoutMillis,
      long defaultRetryMillis) {
    this.httpClient = httpClient;
    this.clock = clock;
    this.timeoutMillis = timeoutMillis;
    this.defaultRetryMillis = defaultRetryMillis;
  }

  /**
   * Returns the text URL-encoded as a form value, for use in paths and queries. A space becomes
   * {@code +}.
   */
  public static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  /**
   * Sends a call and waits for its answer. An answer that refuses the content of the call is {@link
   * StoreResult.Rejected}; one with another unexpected status counts as {@link
   * StoreResult.Unknown}.
   *
   * @param method request method
   * @param uri address of the request
   * @param body JSON body, null for none
   * @param reader converts the JSON answer of a successful call
   * @param <T> type of the value
   * @throws IllegalArgumentException if the body cannot be written as JSON
   */
  public <T> StoreResult<T> send(
      String method, URI uri, JsonNode body, Function<JsonNode, T> reader) {
    HttpCall call = HttpCall.of(method, uri, bytes(body), clock.deadlineAfterMillis(timeoutMillis));
    HttpResult result = httpClient.send(method.equals("GET") ? call.asRepeatable() : call);
    if (result instanceof HttpResult.Answered answered) {
      return toResult(answered, reader);
    }
    HttpFailure failure = ((HttpResult.Failed) result).failure();
    return failure instanceof HttpFailure.NotSent
        ? new StoreResult.Unavailable<>(failure.reason())
        : new StoreResult.Unknown<>(failure.reason());
  }

  /**
   * Returns a failure with another value type. {@link StoreResult.Absent} and {@link
   * StoreResult.Conflict} become {@link StoreResult.Unavailable}.
   */
  public static <T> StoreResult<T> castFailure(StoreResult<?> failure) {
    if (failure instanceof StoreResult.Throttled<?> throttled) {
      return new StoreResult.Throttled<>(throttled.retryAt());
    }
    if (failure instanceof StoreResult.Unavailable<?> unavailable) {
      return new StoreResult.Unavailable<>(unavailable.reason());
    }
    if (failure instanceof StoreResult.Unknown<?> unknown) {
      return new StoreResult.Unknown<>(unknown.reason());
    }
    if (failure instanceof StoreResult.Rejected<?> rejected) {
      return new StoreResult.Rejected<>(rejected.reason());
    }
    return new StoreResult.Unavailable<>("list refused");
  }

  private byte[] bytes(JsonNode body) {
    try {
      return body == null ? new byte[0] : mapper.writeValueAsBytes(body);
    } catch (JsonProcessingException failure) {
      throw new IllegalArgumentException("cannot write the object as JSON", failure);
    }
  }

  private <T> StoreResult<T> toResult(HttpResult.Answered answered, Function<JsonNode, T> reader) {
    int status = answered.head().status();
    return switch (status) {
      case OK, CREATED -> read(answered.body(), reader);
      case NOT_FOUND -> new StoreResult.Absent<>();
      case CONFLICT -> new StoreResult.Conflict<>();
      case TOO_MANY_REQUESTS ->
          new StoreResult.Throttled<>(
              Instant.now()
                  .plusMillis(
                      answered
                          .head()
                          .header("Retry-After")
                          .map(this::retryMillis)
                          .orElse(defaultRetryMillis)));
      case UNAVAILABLE -> new StoreResult.Unavailable<>("store answered " + status);
      default ->
          CONTENT_REFUSALS.contains(status)
              ? new StoreResult.Rejected<>("store answered " + status)
              : new StoreResult.Unknown<>("store answered " + status);
    };
  }

  /** Returns a retry delay in seconds, possibly with a fraction, in milliseconds. */
  private long retryMillis(String seconds) {
    try {
      return Math.max(0, (long) (Double.parseDouble(seconds) * 1_000));
    } catch (NumberFormatException notANumber) {
      return defaultRetryMillis;
    }
  }

  private <T> StoreResult<T> read(byte[] body, Function<JsonNode, T> reader) {
    try {
      return new StoreResult.Done<>(reader.apply(json.read(body)));
    } catch (IOException failure) {
      return new StoreResult.Unknown<>("answer is not JSON: " + failure.getMessage());
    }
  }
}
