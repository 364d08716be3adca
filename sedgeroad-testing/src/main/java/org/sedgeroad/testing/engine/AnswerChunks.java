package org.sedgeroad.testing.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.sedgeroad.testing.http.Answers;

/** Builds the JSON of the OpenAI API for the answer to one request. */
final class AnswerChunks {
  static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

  private final GenerationRequest request;
  private final String model;
  private final long created = Instant.now().getEpochSecond();

  AnswerChunks(GenerationRequest request, String model) {
    this.request = request;
    this.model = model;
  }

  /** Returns JSON data as a server-sent event in UTF-8. */
  static byte[] event(JsonNode data) {
    return ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
  }

  /** Returns a chunk of a streamed answer; a null reason means that more chunks follow. */
  ObjectNode chunk(int index, String text, String finishReason) {
    ObjectNode root = root(request.chat() ? "chat.completion.chunk" : "text_completion");
    ObjectNode choice = root.putArray("choices").addObject();
    choice.put("index", 0);
    if (request.chat()) {
      ObjectNode delta = choice.putObject("delta");
      if (index == 0) {
        delta.put("role", "assistant");
      }
      if (!text.isEmpty()) {
        delta.put("content", text);
      }
    } else {
      choice.put("text", text);
      choice.putNull("logprobs");
    }
    choice.put("finish_reason", finishReason);
    return root;
  }

  /** Returns the last chunk of a streamed answer whose request set {@code include_usage}. */
  ObjectNode usageChunk(int cachedTokens) {
    ObjectNode root = root(request.chat() ? "chat.completion.chunk" : "text_completion");
    root.putArray("choices");
    root.set("usage", usage(cachedTokens));
    return root;
  }

  /** Returns the complete answer to a request that is not streamed. */
  ObjectNode completeAnswer(String text, String finishReason, int cachedTokens) {
    ObjectNode root = root(request.chat() ? "chat.completion" : "text_completion");
    ObjectNode choice = root.putArray("choices").addObject();
    choice.put("index", 0);
    if (request.chat()) {
      ObjectNode message = choice.putObject("message");
      message.put("role", "assistant").put("content", text).putNull("refusal");
    } else {
      choice.put("text", text);
    }
    choice.putNull("logprobs");
    choice.put("finish_reason", finishReason);
    root.set("usage", usage(cachedTokens));
    return root;
  }

  private ObjectNode root(String object) {
    String prefix = request.chat() ? "chatcmpl-" : "cmpl-";
    return Answers.MAPPER
        .createObjectNode()
        .put("id", prefix + request.requestId())
        .put("object", object)
        .put("created", created)
        .put("model", model);
  }

  private ObjectNode usage(int cachedTokens) {
    int prompt = request.promptTokens();
    int answer = request.answerTokens();
    ObjectNode usage = Answers.MAPPER.createObjectNode();
    usage.put("prompt_tokens", prompt);
    usage.put("completion_tokens", answer);
    usage.put("total_tokens", prompt + answer);
    usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
    return usage;
  }
}
