package org.sedgeroad.peer;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing (highest random weight hashing): assigns each key to one of several
 * candidates.
 */
public final class RendezvousHashing {
  private RendezvousHashing() {}

  /**
   * Returns the candidates ordered by descending weight for a key. The first one owns the key.
   *
   * @param key key to be assigned
   * @param candidates names of the candidates
   */
  public static List<String> rank(String key, Collection<String> candidates) {
    record Weighted(String candidate, long weight) {}
    return candidates.stream()
        .map(candidate -> new Weighted(candidate, weight(key, candidate)))
        .sorted(
            Comparator.comparingLong(Weighted::weight)
                .reversed()
                .thenComparing(Weighted::candidate))
        .map(Weighted::candidate)
        .toList();
  }

  /** Returns whether a candidate has the highest weight for a key, that is, owns it. */
  public static boolean ranksFirst(String key, String candidate, Collection<String> candidates) {
    long own = weight(key, candidate);
    for (String other : candidates) {
      long weight = weight(key, other);
      if (weight > own || (weight == own && other.compareTo(candidate) < 0)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the one of two candidates that has the higher weight for a key; an empty name stands
   * for no candidate.
   */
  public static String first(String key, String one, String other) {
    if (one.isEmpty() || one.equals(other)) {
      return other;
    }
    return other.isEmpty() || ranksFirst(key, one, List.of(other)) ? one : other;
  }

  /**
   * Returns the weight of a candidate for a key as a fraction from 0 (inclusive) to 1 (exclusive).
   */
  public static double fraction(String key, String candidate) {
    return (weight(key, candidate) >>> 11) * 0x1.0p-53;
  }

  private static long weight(String key, String candidate) {
    return Hashing.komihash5_0().hashCharsToLong(key + "\u0000" + candidate);
  }
}
