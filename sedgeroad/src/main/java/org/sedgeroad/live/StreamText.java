package org.sedgeroad.live;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/** Event of a completion stream with a single choice, with the generated text that it contains. */
final class StreamText {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final JsonNode event;
  private final JsonNode choice;
  private final String text;

  private StreamText(JsonNode event, JsonNode choice, String text) {
    this.event = event;
    this.choice = choice;
    this.text = text;
  }

  /**
   * Parses an event; empty if two answers with such an event can't be compared by their text,
   * because it is invalid, reports an error, contains tool calls or has several choices.
   */
  static Optional<StreamText> of(String data) {
    JsonNode event;
    try {
      event = MAPPER.readTree(data);
    } catch (JsonProcessingException invalid) {
      return Optional.empty();
    }
    JsonNode choices = event.path("choices");
    if (!choices.isArray() || choices.size() > 1 || event.has("error")) {
      return Optional.empty();
    }
    JsonNode choice = choices.path(0);
    if (choice.path("index").asInt(0) != 0 || choice.path("delta").has("tool_calls")) {
      return Optional.empty();
    }
    String text = choice.path("text").asText("") + choice.path("delta").path("content").asText("");
    return Optional.of(new StreamText(event, choice, text));
  }

  /** Returns the text, empty if the event contains none. */
  String text() {
    return text;
  }

  /** Returns whether the event has a finish reason, which ends the choice. */
  boolean isFinish() {
    return choice.hasNonNull("finish_reason");
  }

  /**
   * Returns the event as JSON with its text replaced. Modifies this object, which must not be used
   * afterwards.
   */
  String toDataWithText(String replacement) {
    if (choice.has("text")) {
      ((ObjectNode) choice).put("text", replacement);
    } else if (choice.path("delta") instanceof ObjectNode delta) {
      delta.put("content", replacement);
    }
    return event.toString();
  }
}
