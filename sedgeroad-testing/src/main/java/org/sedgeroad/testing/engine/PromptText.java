package org.sedgeroad.testing.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Static methods on prompts: their text, size and prefix blocks. */
public final class PromptText {
  /** Characters of a token of a prompt. */
  public static final int TOKEN_CHARACTERS = 4;

  /** Tokens of a block, the unit of the prefix cache. */
  public static final int BLOCK_TOKENS = 16;

  private PromptText() {}

  /** Returns the number of tokens, rounded up. */
  public static int tokens(String prompt) {
    return (prompt.length() + TOKEN_CHARACTERS - 1) / TOKEN_CHARACTERS;
  }

  /**
   * Returns one hash for each whole block, which covers the prompt up to the end of the block: XXH3
   * over the previous hash (0 at first) and XXH3 of the block's characters.
   */
  public static List<Long> blocks(String prompt) {
    int characters = BLOCK_TOKENS * TOKEN_CHARACTERS;
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

  // -----------------------------------------------------------------------

  /**
   * Returns the prompt of a completion, a text or a list of texts.
   *
   * @throws IllegalArgumentException if it is missing
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
   * Returns the messages of a chat as one text, a line {@code role: content} for each.
   *
   * @throws IllegalArgumentException if there is no message
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
