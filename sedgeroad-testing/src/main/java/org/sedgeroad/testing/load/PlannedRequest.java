package org.sedgeroad.testing.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.sedgeroad.testing.engine.PromptText;

/**
 * A live request to be sent. No component may be null.
 *
 * @param offsetNanos intended start, in nanoseconds from the start of the load
 * @param prompt unique prompt
 * @param answerTokens number of tokens of the answer
 * @param isLong whether it is one of the long requests of the mix
 * @param targetNumber number from which the target is chosen, at least 0
 */
public record PlannedRequest(
    long offsetNanos, String prompt, int answerTokens, boolean isLong, int targetNumber) {

  /**
   * Returns one request per arrival; the same arguments give the same requests.
   *
   * @param seed seed of the lengths and targets
   * @param label start of every prompt; keeps the prompts of two loads apart, so that the engines'
   *     prefix caches do not make the second load faster
   * @param arrivals intended starts, in nanoseconds from the start of the load
   * @param mix distribution of the lengths
   */
  public static List<PlannedRequest> plan(
      long seed, String label, List<Long> arrivals, LengthMix mix) {
    SplittableRandom random = new SplittableRandom(seed);
    List<PlannedRequest> requests = new ArrayList<>();
    for (long arrival : arrivals) {
      LengthMix.Lengths lengths = mix.next(random);
      String prompt = prompt(label + "-" + seed + "-" + requests.size(), lengths.prompt());
      requests.add(
          new PlannedRequest(
              arrival,
              prompt,
              lengths.answer(),
              lengths.isLong(),
              random.nextInt(Integer.MAX_VALUE)));
    }
    return requests;
  }

  /** Returns a prompt that starts with a name and has at least the given number of tokens. */
  public static String prompt(String name, int tokens) {
    StringBuilder text = new StringBuilder(name).append(':');
    while (text.length() < tokens * PromptText.CHARACTERS_PER_TOKEN) {
      text.append(" abc");
    }
    return text.toString();
  }
}
