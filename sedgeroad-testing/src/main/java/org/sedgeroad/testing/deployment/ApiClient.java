package org.sedgeroad.testing.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.http.PooledHttpClient;

/** Calls the API of one entry instance, for tests, the demo and experiments. All calls block. */
public final class ApiClient {
  private static final long TIMEOUT_MILLIS = 60_000;

  private final ObjectMapper mapper = new ObjectMapper();
  private final PooledHttpClient httpClient;
  private final URI entry;
  private final String key;

  /**
   * Creates a client of an entry instance.
   *
   * @param httpClient HTTP client; it is not closed by this object
   * @param entry address of the entry instance for callers
   * @param key API key of the member
   */
  public ApiClient(PooledHttpClient httpClient, URI entry, String key) {
    this.httpClient = httpClient;
    this.entry = entry;
    this.key = key;
  }

  /**
   * Sends a request with the member's key. The status of the result is 0 if no complete answer
   * arrives within 60 s.
   */
  public ApiAnswer send(String method, String path, byte[] body, Map<String, String> headers) {
    Map<String, String> all = new TreeMap<>(headers);
    all.put("Authorization", "Bearer " + key);
    HttpResult result =
        httpClient.send(
            new HttpCall(
                method,
                entry.resolve(path),
                all,
                body,
                !method.equals("GET"),
                MonotonicClock.SYSTEM.deadlineAfterMillis(TIMEOUT_MILLIS)));
    if (result instanceof HttpResult.Answered answered) {
      String text = new String(answered.body(), StandardCharsets.UTF_8);
      return new ApiAnswer(
          answered.head().status(), answered.head().header("X-Work").orElse(""), text);
    }
    return new ApiAnswer(0, "", ((HttpResult.Failed) result).failure().reason());
  }

  /** Sends a POST with a JSON body. */
  public ApiAnswer post(String path, JsonNode body, Map<String, String> headers) {
    return send("POST", path, body.toString().getBytes(StandardCharsets.UTF_8), headers);
  }

  /** Sends a GET. */
  public ApiAnswer get(String path) {
    return send("GET", path, new byte[0], Map.of());
  }

  /** Requests a completion of at most the given number of tokens. */
  public ApiAnswer complete(String model, String prompt, int tokens, boolean stream) {
    return post("/v1/completions", completionBody(model, prompt, tokens, stream), Map.of());
  }

  /**
   * Returns the body of a completion request. Its temperature is 0, so that every engine gives the
   * same answer.
   */
  public static ObjectNode completionBody(String model, String prompt, int tokens, boolean stream) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("model", model).put("prompt", prompt).put("max_tokens", tokens);
    return body.put("temperature", 0).put("stream", stream);
  }

  /**
   * Uploads a batch file with one completion per prompt and returns the answer. The custom ids are
   * {@code item-0}, {@code item-1} and so on.
   */
  public ApiAnswer upload(String model, List<String> prompts, int tokens) {
    List<String> lines = new ArrayList<>();
    for (String prompt : prompts) {
      ObjectNode line = JsonNodeFactory.instance.objectNode();
      line.put("custom_id", "item-" + lines.size()).put("method", "POST");
      line.put("url", "/v1/completions");
      line.set("body", completionBody(model, prompt, tokens, false));
      lines.add(line.toString());
    }
    return upload(String.join("\n", lines) + "\n");
  }

  /** Uploads a batch file with the given content and returns the answer. */
  public ApiAnswer upload(String text) {
    String boundary = "sedgeroad-boundary";
    String body =
        "--"
            + boundary
            + "\r\n"
            + "Content-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n"
            + "--"
            + boundary
            + "\r\n"
            + "Content-Disposition: form-data; name=\"file\"; filename=\"items.jsonl\"\r\n"
            + "Content-Type: application/jsonl\r\n\r\n"
            + text
            + "\r\n--"
            + boundary
            + "--\r\n";
    return send(
        "POST",
        "/v1/files",
        body.getBytes(StandardCharsets.UTF_8),
        Map.of("Content-Type", "multipart/form-data; boundary=" + boundary));
  }

  /** Submits a batch job for an uploaded file and returns the answer. */
  public ApiAnswer submit(String fileId, Map<String, String> headers) {
    ObjectNode body = mapper.createObjectNode();
    body.put("input_file_id", fileId).put("endpoint", "/v1/completions");
    body.put("completion_window", "24h");
    return post("/v1/batches", body, headers);
  }

  /**
   * Parses the body of an answer.
   *
   * @throws UncheckedIOException if the body isn't JSON
   */
  public JsonNode json(ApiAnswer answer) {
    try {
      return mapper.readTree(answer.body());
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /**
   * Polls a batch until it is completed or cancelled, or until the timeout has passed. Returns the
   * state read last, an empty object if none could be read.
   */
  public JsonNode awaitBatch(String id, long timeoutMillis) {
    long deadline = MonotonicClock.SYSTEM.deadlineAfterMillis(timeoutMillis);
    JsonNode batch = mapper.createObjectNode();
    while (!MonotonicClock.SYSTEM.hasPassed(deadline)) {
      ApiAnswer answer = get("/v1/batches/" + id);
      if (answer.status() == 200) {
        batch = json(answer);
        String status = batch.path("status").asText();
        if (status.equals("completed") || status.equals("cancelled")) {
          return batch;
        }
      }
      pause();
    }
    return batch;
  }

  private static void pause() {
    try {
      Thread.sleep(50);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
