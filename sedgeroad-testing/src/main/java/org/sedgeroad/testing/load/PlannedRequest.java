package org.sedgeroad.testing.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.sedgeroad.testing.engine.PromptText;

/**
 * A live request that is to be sent.
 *
 * @param offsetNanos intended start from the start of the load
 * @param prompt unique prompt
 * @param tokens tokens of the answer
 * @param isLong whether it is one of the long requests of the mix
 * @param target number from which the target is chosen
 */
public record PlannedRequest(
    long offsetNanos, String prompt, int tokens, boolean isLong, int target) {

  /**
   * Returns one request per arrival; the same arguments give the same requests.
   *
   * @param label start of every prompt; keeps the prompts of two loads apart, so that the engines'
   *     prefix caches do not make the second load faster
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

  /** Returns a prompt of a number of tokens that starts with a name. */
  public static String prompt(String name, int tokens) {
    StringBuilder text = new StringBuilder(name).append(':');
    while (text.length() < tokens * PromptText.TOKEN_CHARACTERS) {
      text.append(" abc");
    }
    return text.toString();
  }
}
