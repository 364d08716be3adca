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
import org.sedgeroad.http.HttpCaller;
import org.sedgeroad.http.HttpResult;

/** A caller of one entry instance, for tests and the demo. Calls block. */
public final class ApiClient {
  private static final long TIMEOUT_MILLIS = 60_000;

  private final ObjectMapper mapper = new ObjectMapper();
  private final HttpCaller caller;
  private final URI entry;
  private final String key;

  /**
   * Creates a caller.
   *
   * @param caller HTTP client, not closed by this object
   * @param entry address of the entry instance
   * @param key the member's key
   */
  public ApiClient(HttpCaller caller, URI entry, String key) {
    this.caller = caller;
    this.entry = entry;
    this.key = key;
  }

  /** Sends a request and returns the outcome; a failure has status 0. */
  public ApiAnswer send(String method, String path, byte[] body, Map<String, String> headers) {
    Map<String, String> all = new TreeMap<>(headers);
    all.put("Authorization", "Bearer " + key);
    HttpResult result =
        caller.send(
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

  /** Sends a JSON body. */
  public ApiAnswer post(String path, JsonNode body, Map<String, String> headers) {
    return send("POST", path, body.toString().getBytes(StandardCharsets.UTF_8), headers);
  }

  /** Reads a path. */
  public ApiAnswer get(String path) {
    return send("GET", path, new byte[0], Map.of());
  }

  /** Asks for a completion. */
  public ApiAnswer complete(String model, String prompt, int tokens, boolean stream) {
    return post("/v1/completions", completion(model, prompt, tokens, stream), Map.of());
  }

  /** Returns the body of a completion that any engine answers in the same way. */
  public static ObjectNode completion(String model, String prompt, int tokens, boolean stream) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("model", model).put("prompt", prompt).put("max_tokens", tokens);
    return body.put("temperature", 0).put("stream", stream);
  }

  // -----------------------------------------------------------------------

  /** Uploads a batch file with one completion per prompt; returns the answer. */
  public ApiAnswer upload(String model, List<String> prompts, int tokens) {
    List<String> lines = new ArrayList<>();
    for (String prompt : prompts) {
      ObjectNode line = JsonNodeFactory.instance.objectNode();
      line.put("custom_id", "item-" + lines.size()).put("method", "POST");
      line.put("url", "/v1/completions");
      line.set("body", completion(model, prompt, tokens, false));
      lines.add(line.toString());
    }
    return upload(String.join("\n", lines) + "\n");
  }

  /** Uploads the text of a batch file; returns the answer. */
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

  /** Submits a job for a file; returns the answer. */
  public ApiAnswer submit(String fileId, Map<String, String> headers) {
    ObjectNode body = mapper.createObjectNode();
    body.put("input_file_id", fileId).put("endpoint", "/v1/completions");
    body.put("completion_window", "24h");
    return post("/v1/batches", body, headers);
  }

  /** Returns the JSON of an answer. */
  public JsonNode json(ApiAnswer answer) {
    try {
      return mapper.readTree(answer.body());
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Polls a batch until it has ended or the deadline has passed; returns its last state. */
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
