package org.sedgeroad.testing.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Static methods that compute the text, the size and the prefix blocks of prompts. */
public final class PromptText {
  /** Number of characters that count as one token of a prompt. */
  public static final int CHARACTERS_PER_TOKEN = 4;

  /** Number of tokens in a block, the unit of the prefix cache. */
  public static final int TOKENS_PER_BLOCK = 16;

  private PromptText() {}

  /** Returns the number of tokens of a prompt, rounded up. */
  public static int tokens(String prompt) {
    return (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
  }

  /**
   * Returns one hash for each whole block; an incomplete block at the end has none. Each hash
   * covers the prompt from its start to the end of the block: it is XXH3 over the previous hash (0
   * for the first block) and XXH3 of the block's characters.
   */
  public static List<Long> blocks(String prompt) {
    int characters = TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN;
    List<Long> blocks = new ArrayList<>();
    long previous = 0;
    for (int end = characters; end <= prompt.length(); end += characters) {
      String text = prompt.substring(end - characters, end);
      previous =
          Hashing.xxh3_64().hashLongLongToLong(previous, Hashing.xxh3_64().hashCharsToLong(text));
      blocks.add(previous);
    }
    return blocks;
  }

  /**
   * Returns the prompt of a completion request, given as a string or as an array of one string.
   *
   * @throws IllegalArgumentException if it is missing or has another form
   */
  static String of(JsonNode prompt) {
    if (prompt.isTextual()) {
      return prompt.asText();
    }
    if (prompt.isArray() && prompt.size() == 1 && prompt.get(0).isTextual()) {
      return prompt.get(0).asText();
    }
    throw new IllegalArgumentException("prompt must be one text");
  }

  /**
   * Returns the messages of a chat as one string, with one line {@code role: content} per message.
   *
   * @throws IllegalArgumentException if they are not an array or there is none
   */
  static String ofMessages(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty()) {
      throw new IllegalArgumentException("messages must be a list that is not empty");
    }
    StringBuilder text = new StringBuilder();
    for (JsonNode message : messages) {
      text.append(message.path("role").asText()).append(": ");
      JsonNode content = message.path("content");
      if (content.isTextual()) {
        text.append(content.asText());
      }
      content.forEach(part -> text.append(part.path("text").asText()));
      text.append('\n');
    }
    return text.toString();
  }
}
