package org.sedgeroad.peer;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Highest-random-weight hashing: which instance is responsible for a key. */
public final class Rendezvous {
  private Rendezvous() {}

  /**
   * Returns the candidates ordered by their weight for a key, the responsible one first.
   *
   * @param key name of the thing that someone must be responsible for
   * @param candidates names of the candidates
   */
  public static List<String> rank(String key, Collection<String> candidates) {
    return candidates.stream()
        .sorted(
            Comparator.comparingLong((String candidate) -> weight(key, candidate))
                .reversed()
                .thenComparing(Comparator.naturalOrder()))
        .toList();
  }

  /** Returns whether a candidate is the responsible one of all candidates. */
  public static boolean isFirst(String key, String candidate, Collection<String> candidates) {
    long own = weight(key, candidate);
    for (String other : candidates) {
      long weight = weight(key, other);
      if (weight > own || (weight == own && other.compareTo(candidate) < 0)) {
        return false;
      }
    }
    return true;
  }

  private static long weight(String key, String candidate) {
    return Hashing.komihash5_0().hashCharsToLong(key + "\u0000" + candidate);
  }
}
