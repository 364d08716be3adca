package org.sedgeroad.testing.load;

import java.util.SplittableRandom;

/**
 * Lengths of requests with a heavy tail: bounded Pareto distributions for prompt and answer, and a
 * part of requests whose answer is many times longer.
 *
 * @param minPromptTokens shortest prompt
 * @param maxPromptTokens longest prompt
 * @param minAnswerTokens shortest answer
 * @param maxAnswerTokens longest answer of a request that is not long
 * @param longFraction part of long requests, from 0 to 1
 * @param longFactor factor of the answer's length for long requests
 */
public record LengthMix(
    int minPromptTokens,
    int maxPromptTokens,
    int minAnswerTokens,
    int maxAnswerTokens,
    double longFraction,
    int longFactor) {
  /** Exponent of the tails; below 2, so the variance is governed by the bound. */
  private static final double TAIL_EXPONENT = 1.5;

  private static final int SAMPLES = 20_000;

  /** Short assistant requests: prompts of 100 to 2,000 tokens, answers of 8 to 160. */
  public static final LengthMix ASSISTANT = new LengthMix(100, 2_000, 8, 160, 0, 1);

  /** Requests with equal prompts and answers. */
  public static LengthMix fixed(int promptTokens, int answerTokens) {
    return new LengthMix(promptTokens, promptTokens, answerTokens, answerTokens, 0, 1);
  }

  /** Returns a copy with a part of long requests. */
  public LengthMix withLong(double fraction, int factor) {
    return new LengthMix(
        minPromptTokens, maxPromptTokens, minAnswerTokens, maxAnswerTokens, fraction, factor);
  }

  /** Draws one request. */
  Lengths next(SplittableRandom random) {
    int prompt = pareto(random, minPromptTokens, maxPromptTokens);
    int answer = pareto(random, minAnswerTokens, maxAnswerTokens);
    // Drawn always, so that mixes with and without long requests share the other lengths.
    boolean isLong = random.nextDouble() < longFraction;
    return new Lengths(prompt, isLong ? answer * longFactor : answer, isLong);
  }

  /** Returns the mean time of a slot per request in seconds, estimated from samples. */
  public double meanSlotSeconds(double tokenMillis, double prefillMicros) {
    SplittableRandom random = new SplittableRandom(1);
    double millis = 0;
    for (int index = 0; index < SAMPLES; index++) {
      Lengths lengths = next(random);
      // The first token follows the prefill at once.
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
   * @param prompt tokens of the prompt
   * @param answer tokens of the answer
   * @param isLong whether it belongs to the long ones
   */
  record Lengths(int prompt, int answer, boolean isLong) {}
}
