package org.sedgeroad.testing.failure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpFailure;
import org.sedgeroad.http.HttpHead;
import org.sedgeroad.http.HttpListener;
import org.sedgeroad.testing.deployment.ApiAnswer;
import org.sedgeroad.testing.deployment.ApiClient;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.engine.AnswerText;

/** A streamed completion request and the part of its answer that has been received. Thread-safe. */
final class StreamedCall implements HttpListener {
  private static final long TIMEOUT_MILLIS = 60_000;

  private final String prompt;
  private final StringBuffer body = new StringBuffer();
  private final CompletableFuture<ApiAnswer> answer = new CompletableFuture<>();
  private volatile HttpHead head;

  private StreamedCall(String prompt) {
    this.prompt = prompt;
  }

  /**
   * Sends a request with the member's key to an entry instance.
   *
   * @param entry index of the entry instance in {@link Deployment#entries}
   */
  static StreamedCall start(
      Deployment deployment, int entry, String prompt, int tokens, double temperature) {
    StreamedCall call = new StreamedCall(prompt);
    ObjectNode body = ApiClient.completionBody(deployment.plan().model(), prompt, tokens, true);
    body.put("temperature", temperature);
    deployment
        .httpClient()
        .start(
            new HttpCall(
                "POST",
                deployment.entries().get(entry).callerAddress().resolve("/v1/completions"),
                Map.of("Authorization", "Bearer " + deployment.plan().key()),
                body.toString().getBytes(StandardCharsets.UTF_8),
                true,
                MonotonicClock.SYSTEM.deadlineAfterMillis(TIMEOUT_MILLIS)),
            call);
    return call;
  }

  /**
   * Returns the fingerprint of the prompt as hexadecimal text, as in the request history of an
   * engine stand-in.
   */
  String fingerprint() {
    return AnswerText.toHex(AnswerText.fingerprint(prompt));
  }

  /** Returns whether an event with text has been received. */
  boolean hasReceivedText() {
    return body.indexOf("\"text\":") >= 0;
  }

  /** Returns whether the answer has ended, complete or not. */
  boolean hasEnded() {
    return answer.isDone();
  }

  /** Waits for the end of the answer; without a complete answer within 60 s its status is 0. */
  ApiAnswer awaitAnswer() {
    return answer.join();
  }

  @Override
  public void onHead(HttpHead received) {
    head = received;
  }

  @Override
  public void onBytes(ByteBuffer bytes) {
    body.append(StandardCharsets.UTF_8.decode(bytes));
  }

  @Override
  public void onEnd() {
    answer.complete(
        new ApiAnswer(head.status(), head.header("X-Work").orElse(""), body.toString()));
  }

  @Override
  public void onFailure(HttpFailure failure) {
    answer.complete(new ApiAnswer(0, "", failure.reason()));
  }
}
