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
 * @param requestId value of {@code X-Request-Id}, made up if it is missing
 * @param serviceClass value of {@code X-Service-Class}, may be empty
 * @param chat whether the answer has the form of chat completions
 * @param streamed whether the answer is streamed
 * @param includeUsage whether a stream ends with the usage
 * @param prompt whole prompt
 * @param maxTokens limit on the tokens of the answer
 */
public record GenerationRequest(
    String requestId,
    String serviceClass,
    boolean chat,
    boolean streamed,
    boolean includeUsage,
    String prompt,
    int maxTokens) {
  /** A prompt with this text halts the engine. */
  public static final String CRASH_MARK = "CRASH-ENGINE";

  /** A prompt with this text gets status 422. */
  public static final String FAIL_MARK = "FAIL-ALWAYS";

  /** A prompt with this text and a number ends after so many tokens unless the limit is lower. */
  public static final String STOP_MARK = "STOP-AFTER-";

  private static final Pattern STOP_PATTERN = Pattern.compile(STOP_MARK + "(\\d{1,7})");
  private static final int DEFAULT_MAX_TOKENS = 16;

  /**
   * Reads a request.
   *
   * @throws IllegalArgumentException if the body has no prompt or a field is wrong
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

  /** Returns the number of tokens of the whole answer. */
  int answerTokens() {
    Matcher matcher = STOP_PATTERN.matcher(prompt);
    return matcher.find() ? Math.min(maxTokens, Integer.parseInt(matcher.group(1))) : maxTokens;
  }

  /** Returns the reason for the end of the whole answer. */
  String finishReason() {
    return answerTokens() < maxTokens ? "stop" : "length";
  }

  /** Returns the number of tokens of the prompt. */
  int promptTokens() {
    return PromptText.tokens(prompt);
  }
}
