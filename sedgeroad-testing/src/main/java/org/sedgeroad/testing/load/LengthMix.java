package org.sedgeroad.testing.load;

import java.util.SplittableRandom;

/**
 * Distribution of the lengths of requests, with a heavy tail: bounded Pareto distributions for
 * prompt and answer, and a fraction of requests whose answer is many times longer. Lengths are in
 * tokens.
 *
 * @param minPromptTokens length of the shortest prompt
 * @param maxPromptTokens length of the longest prompt
 * @param minAnswerTokens length of the shortest answer
 * @param maxAnswerTokens length of the longest answer to a request that is not long
 * @param longFraction fraction of long requests, from 0 to 1
 * @param longFactor factor by which the answers to long requests are longer
 */
public record LengthMix(
    int minPromptTokens,
    int maxPromptTokens,
    int minAnswerTokens,
    int maxAnswerTokens,
    double longFraction,
    int longFactor) {
  /** Exponent of the tails; below 2, so that the maximum length determines the variance. */
  private static final double TAIL_EXPONENT = 1.5;

  private static final int SAMPLES = 20_000;

  /** Short assistant requests: prompts of 100 to 2,000 tokens, answers of 8 to 160. */
  public static final LengthMix ASSISTANT = new LengthMix(100, 2_000, 8, 160, 0, 1);

  /** Returns a mix in which all prompts and all answers have the given lengths. */
  public static LengthMix fixed(int promptTokens, int answerTokens) {
    return new LengthMix(promptTokens, promptTokens, answerTokens, answerTokens, 0, 1);
  }

  /** Returns a copy with the given fraction of long requests and factor of their answers. */
  public LengthMix withLong(double fraction, int factor) {
    return new LengthMix(
        minPromptTokens, maxPromptTokens, minAnswerTokens, maxAnswerTokens, fraction, factor);
  }

  /** Draws the lengths of one request. */
  Lengths next(SplittableRandom random) {
    int prompt = pareto(random, minPromptTokens, maxPromptTokens);
    int answer = pareto(random, minAnswerTokens, maxAnswerTokens);
    // Always drawn, so that mixes with and without long requests agree in the other lengths.
    boolean isLong = random.nextDouble() < longFraction;
    return new Lengths(prompt, isLong ? answer * longFactor : answer, isLong);
  }

  /** Returns the mean time for which a request holds a slot, in seconds, estimated from samples. */
  public double meanSlotSeconds(double tokenMillis, double prefillMicros) {
    SplittableRandom random = new SplittableRandom(1);
    double millis = 0;
    for (int index = 0; index < SAMPLES; index++) {
      Lengths lengths = next(random);
      // The first token is produced as soon as the prefill ends.
      millis += lengths.prompt() * prefillMicros / 1_000 + (lengths.answer() - 1) * tokenMillis;
    }
    return millis / SAMPLES / 1_000;
  }

  private static int pareto(SplittableRandom random, int min, int max) {
    double value = min * Math.pow(1 - random.nextDouble(), -1 / TAIL_EXPONENT);
    return (int) Math.min(max, value);
  }

  /**
   * Lengths of one request.
   *
   * @param prompt number of tokens of the prompt
   * @param answer number of tokens of the answer
   * @param isLong whether the request is one of the long ones
   */
  record Lengths(int prompt, int answer, boolean isLong) {}
}
