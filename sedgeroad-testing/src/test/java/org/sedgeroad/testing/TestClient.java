package org.sedgeroad.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.http.PooledHttpClient;

/** HTTP client with which a test calls one stand-in. */
public final class TestClient implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final PooledHttpClient httpClient = PooledHttpClient.create(1);
  private final URI base;

  /** Creates a client for the address of a stand-in. */
  public TestClient(URI base) {
    this.base = base;
  }

  /** Returns the underlying HTTP client, which is closed together with this one. */
  public PooledHttpClient httpClient() {
    return httpClient;
  }

  /** Sends a call with a deadline of 5 s. */
  public HttpResult send(String method, String path, String body, Map<String, String> headers) {
    return httpClient.send(call(method, path, body, headers));
  }

  /** Sends a call that must be answered, and returns the answer whatever its status is. */
  public HttpResult.Answered answer(String method, String path, String body) {
    return (HttpResult.Answered) send(method, path, body, Map.of());
  }

  /** Sends a POST and returns the JSON of the answer. */
  public JsonNode post(String path, String body) {
    return json(answer("POST", path, body));
  }

  /** Sends a GET and returns the JSON of the answer. */
  public JsonNode get(String path) {
    return json(answer("GET", path, ""));
  }

  /** Returns the body of an answer as JSON. */
  public static JsonNode json(HttpResult.Answered answer) {
    try {
      return MAPPER.readTree(answer.body());
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  @Override
  public void close() {
    httpClient.close();
  }

  private HttpCall call(String method, String path, String body, Map<String, String> headers) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    long deadline = MonotonicClock.SYSTEM.deadlineAfterMillis(5_000);
    return new HttpCall(method, base.resolve(path), headers, bytes, false, deadline);
  }
}
