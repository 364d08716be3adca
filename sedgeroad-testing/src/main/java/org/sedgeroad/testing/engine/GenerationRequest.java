package org.sedgeroad.testing.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sedgeroad.testing.http.ControlFields;

/**
 * A request for generated text. No component may be null.
 *
 * @param requestId value of {@code X-Request-Id}, generated if the header is missing
 * @param serviceClass value of {@code X-Service-Class}, may be empty
 * @param chat whether it is a chat completion rather than a text completion
 * @param streamed whether the answer is streamed
 * @param includeUsage whether a streamed answer ends with the token usage
 * @param prompt complete prompt
 * @param maxTokens maximum number of tokens of the answer
 */
public record GenerationRequest(
    String requestId,
    String serviceClass,
    boolean chat,
    boolean streamed,
    boolean includeUsage,
    String prompt,
    int maxTokens) {
  /** A prompt that contains this text crashes the engine once the request gets a slot. */
  public static final String CRASH_MARK = "CRASH-ENGINE";

  /** A prompt that contains this text is answered with status 422. */
  public static final String FAIL_MARK = "FAIL-ALWAYS";

  /**
   * A prompt that contains this text followed by a number gets an answer of that many tokens,
   * unless {@code maxTokens} is lower.
   */
  public static final String STOP_MARK = "STOP-AFTER-";

  private static final Pattern STOP_PATTERN = Pattern.compile(STOP_MARK + "(\\d{1,7})");
  private static final int DEFAULT_MAX_TOKENS = 16;

  /**
   * Parses a request.
   *
   * @throws IllegalArgumentException if the body has no prompt or a field is invalid
   */
  static GenerationRequest parse(HttpServerExchange exchange, boolean chat, JsonNode body) {
    String requestId = header(exchange, "X-Request-Id");
    long maxTokens =
        ControlFields.wholeNumber(
            body,
            "max_tokens",
            ControlFields.wholeNumber(body, "max_completion_tokens", DEFAULT_MAX_TOKENS));
    return new GenerationRequest(
        requestId.isEmpty() ? UUID.randomUUID().toString() : requestId,
        header(exchange, "X-Service-Class"),
        chat,
        body.path("stream").asBoolean(),
        body.path("stream_options").path("include_usage").asBoolean(),
        chat ? PromptText.ofMessages(body.path("messages")) : PromptText.of(body.path("prompt")),
        (int) maxTokens);
  }

  static String header(HttpServerExchange exchange, String name) {
    String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? "" : value;
  }

  /** Returns the number of tokens of the complete answer. */
  int answerTokens() {
    Matcher matcher = STOP_PATTERN.matcher(prompt);
    return matcher.find() ? Math.min(maxTokens, Integer.parseInt(matcher.group(1))) : maxTokens;
  }

  /** Returns the finish reason of the complete answer, {@code stop} or {@code length}. */
  String finishReason() {
    return answerTokens() < maxTokens ? "stop" : "length";
  }

  /** Returns the number of tokens of the prompt. */
  int promptTokens() {
    return PromptText.tokens(prompt);
  }
}
