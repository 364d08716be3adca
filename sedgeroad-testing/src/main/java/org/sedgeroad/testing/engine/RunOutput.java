package org.sedgeroad.testing.engine;

/**
 * Receives the tokens of one run. The methods are called on the engine's scheduler thread and must
 * not block.
 */
interface RunOutput {

  /** Receives the token at an index, counted from 0. */
  void token(int index, String text);

  /**
   * Receives the end of the answer.
   *
   * @param reason finish reason of the OpenAI API
   * @param cachedTokens tokens of the prompt that were found in the prefix cache
   */
  void finish(String reason, int cachedTokens);

  /** Aborts the answer by closing the connection. */
  void abort();
}
