package org.sedgeroad.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpFailure;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.http.PooledHttpClient;

/** HTTP client of the administration API of an instance. */
final class AdministrationClient implements AutoCloseable {
  private static final long TIMEOUT_MILLIS = 60_000;

  private final ObjectMapper mapper = new ObjectMapper();
  private final PooledHttpClient httpClient = PooledHttpClient.create(1);
  private final URI address;
  private final Map<String, String> headers = new HashMap<>();

  /**
   * Creates a client.
   *
   * @param token operators' token, empty to send none
   */
  AdministrationClient(URI address, String token) {
    this.address = address;
    headers.put("Content-Type", "text/plain; charset=utf-8");
    if (!token.isEmpty()) {
      headers.put("Authorization", "Bearer " + token);
    }
  }

  /** Outcome of a request. */
  sealed interface Answer {}

  /** A complete response with a JSON body. */
  record Received(int status, JsonNode body) implements Answer {}

  /** No connection could be opened; the request can't have taken effect. */
  record NotSent(String reason) implements Answer {}

  /** No complete response, or one that is not JSON; the request may have taken effect. */
  record Lost(String reason) implements Answer {}

  /** Sends a text by a POST request. */
  Answer post(String path, String text) {
    return send("POST", path, text);
  }

  /** Sends a GET request. */
  Answer get(String path) {
    return send("GET", path, "");
  }

  @Override
  public void close() {
    httpClient.close();
  }

  private Answer send(String method, String path, String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    long deadline = MonotonicClock.SYSTEM.deadlineAfterMillis(TIMEOUT_MILLIS);
    HttpResult result =
        httpClient.send(new HttpCall(method, address.resolve(path), headers, body, true, deadline));
    if (result instanceof HttpResult.Failed failed) {
      return failed.failure() instanceof HttpFailure.NotSent notSent
          ? new NotSent(notSent.reason())
          : new Lost(failed.failure().reason());
    }
    HttpResult.Answered answered = (HttpResult.Answered) result;
    try {
      return new Received(answered.head().status(), mapper.readTree(answered.body()));
    } catch (JsonProcessingException invalid) {
      return new Lost("the answer is not JSON; does --at name the operators' address?");
    } catch (java.io.IOException failure) {
      return new Lost(failure.toString());
    }
  }
}
