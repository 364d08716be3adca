package org.sedgeroad.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpCaller;
import org.sedgeroad.http.HttpExchange;
import org.sedgeroad.http.HttpFailure;
import org.sedgeroad.http.HttpHead;
import org.sedgeroad.http.HttpListener;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.http.LineSplitter;

/** Calls of the tests to one stand-in. */
public final class TestClient implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpCaller caller = HttpCaller.create(1);
  private final URI base;

  /** Creates a client for an address. */
  public TestClient(URI base) {
    this.base = base;
  }

  /** Returns the HTTP client. */
  public HttpCaller caller() {
    return caller;
  }

  /** Sends a call with a 5 s deadline. */
  public HttpResult send(String method, String path, String body, Map<String, String> headers) {
    return caller.send(call(method, path, body, headers));
  }

  /** Sends a call and returns the answer, whatever its status. */
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

  /** Starts a call whose answer is read line by line. */
  public Lines stream(String method, String path, String body, Map<String, String> headers) {
    Lines lines = new Lines();
    lines.exchange = caller.start(call(method, path, body, headers), lines);
    return lines;
  }

  @Override
  public void close() {
    caller.close();
  }

  private HttpCall call(String method, String path, String body, Map<String, String> headers) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    long deadline = MonotonicClock.SYSTEM.deadlineAfterMillis(5_000);
    return new HttpCall(method, base.resolve(path), headers, bytes, false, deadline);
  }

  /** The lines of a streamed answer. */
  public static final class Lines implements HttpListener {
    /** Lines received so far that are not empty. */
    public final List<String> lines = new CopyOnWriteArrayList<>();

    /** Head of the answer. */
    public final CompletableFuture<HttpHead> head = new CompletableFuture<>();

    /** Completes with {@code end} or the reason of a failure. */
    public final CompletableFuture<String> end = new CompletableFuture<>();

    private final LineSplitter splitter =
        new LineSplitter(
            line -> {
              if (!line.isEmpty()) {
                lines.add(line);
              }
            });
    private volatile HttpExchange exchange;

    /** Closes the connection. */
    public void cancel() {
      exchange.close();
    }

    /** Returns the joined texts of the server-sent events. */
    public String text() {
      StringBuilder text = new StringBuilder();
      for (String line : lines) {
        if (line.startsWith("data: {")) {
          try {
            JsonNode choice = MAPPER.readTree(line.substring(6)).path("choices").path(0);
            text.append(choice.path("text").asText(""));
            text.append(choice.path("delta").path("content").asText(""));
          } catch (IOException failure) {
            throw new UncheckedIOException(failure);
          }
        }
      }
      return text.toString();
    }

    @Override
    public void onHead(HttpHead received) {
      head.complete(received);
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
      splitter.accept(bytes);
    }

    @Override
    public void onEnd() {
      splitter.finish();
      end.complete("end");
    }

    @Override
    public void onFailure(HttpFailure failure) {
      end.complete(failure.reason());
    }
  }
}
