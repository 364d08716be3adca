package org.sedgeroad.testing.load;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.testing.deployment.ApiClient;

/** Closed-loop load that keeps a number of requests in flight at each target until a deadline. */
public final class ClosedLoopLoad {
  private static final long TIMEOUT_MILLIS = 10_000;

  private final PooledHttpClient httpClient;
  private final Map<String, String> headers;
  private final String model;
  private final int promptTokens;
  private final int answerTokens;
  private final long endNanos;
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong answered = new AtomicLong();

  /**
   * Creates a load; {@link #start} starts it.
   *
   * @param httpClient client that sends the requests
   * @param headers headers of each request
   * @param model name of the model
   * @param promptTokens number of tokens of each prompt
   * @param answerTokens number of tokens of each answer
   * @param seconds seconds from now after which no request is sent
   */
  public ClosedLoopLoad(
      PooledHttpClient httpClient,
      Map<String, String> headers,
      String model,
      int promptTokens,
      int answerTokens,
      double seconds) {
    this.httpClient = httpClient;
    this.headers = Map.copyOf(headers);
    this.model = model;
    this.promptTokens = promptTokens;
    this.answerTokens = answerTokens;
    this.endNanos = MonotonicClock.SYSTEM.nanos() + (long) (seconds * 1e9);
  }

  /** Starts the given number of concurrent requests at each target. */
  public void start(List<URI> targets, int inFlight) {
    for (URI target : targets) {
      for (int index = 0; index < inFlight; index++) {
        send(target);
      }
    }
  }

  /** Returns the number of answers with status 200 so far. */
  public long answered() {
    return answered.get();
  }

  private void send(URI target) {
    if (MonotonicClock.SYSTEM.nanos() >= endNanos) {
      return;
    }
    String prompt = PlannedRequest.prompt("saturation-" + sent.incrementAndGet(), promptTokens);
    String body = ApiClient.completionBody(model, prompt, answerTokens, false).toString();
    httpClient
        .sendAsync(
            new HttpCall(
                "POST",
                target.resolve("/v1/completions"),
                headers,
                body.getBytes(StandardCharsets.UTF_8),
                false,
                MonotonicClock.SYSTEM.deadlineAfterMillis(TIMEOUT_MILLIS)))
        .thenAccept(
            result -> {
              // A failed request is not followed by another, so that a failed target is not called
              // in a loop.
              if (result instanceof HttpResult.Answered whole && whole.head().status() == 200) {
                answered.incrementAndGet();
                send(target);
              }
            });
  }
}
