package org.sedgeroad.testing.engine;

/** Receives the tokens of one run, from the engine's scheduler thread; must not block. */
interface RunOutput {

  /** Receives the token at an index. */
  void token(int index, String text);

  /** Receives the end of the answer. */
  void finish(String reason, int cachedTokens);

  /** Breaks off the answer by closing the connection. */
  void abort();
}
