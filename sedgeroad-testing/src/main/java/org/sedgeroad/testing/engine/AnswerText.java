package org.sedgeroad.testing.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * Static methods that compute the answer of the engine stand-in to a prompt. The text depends only
 * on the prompt and the number of tokens, so that tests can check it.
 */
public final class AnswerText {
  private static final int TOKEN_BITS = 20;
  private static final int TOKEN_RADIX = 36;

  private AnswerText() {}

  /** Returns the fingerprint of a prompt, XXH3 over its UTF-8 bytes. */
  public static long fingerprint(String prompt) {
    return Hashing.xxh3_64().hashBytesToLong(prompt.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns a fingerprint, or the hash of a block of the prefix cache, as the 16 hexadecimal digits
   * that represent it in JSON.
   */
  public static String toHex(long fingerprint) {
    return HexFormat.of().toHexDigits(fingerprint);
  }

  /** Returns the token of an answer at an index, from 0; each token starts with a space. */
  public static String token(long fingerprint, int index) {
    long hash = Hashing.xxh3_64().hashLongLongToLong(fingerprint, index);
    return " " + Long.toString(hash >>> (Long.SIZE - TOKEN_BITS), TOKEN_RADIX);
  }

  /** Returns the answer to a prompt with exactly the given number of tokens. */
  public static String of(String prompt, int tokens) {
    long fingerprint = fingerprint(prompt);
    StringBuilder text = new StringBuilder();
    for (int index = 0; index < tokens; index++) {
      text.append(token(fingerprint, index));
    }
    return text.toString();
  }
}
