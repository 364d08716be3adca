package org.sedgeroad.limit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Fractions of one member's limits, in parts per million of the part that is not isolated.
 *
 * @param fractions fraction of each failure domain
 * @param freed fraction that each giver has given up and no taker has taken yet
 * @param wanted fraction that each failure domain would like to have in addition
 */
public record MemberShares(
    Map<String, Integer> fractions, Map<String, Integer> freed, Map<String, Integer> wanted) {
  private static final String WANTED = "wanted";
  private static final String FREED = "freed";
  private static final String FRACTIONS = "fractions";

  /**
   * Copies the maps and checks the sum.
   *
   * @throws IllegalArgumentException if a fraction is negative or the sum is above 1,000,000
   */
  public MemberShares {
    fractions = Map.copyOf(fractions);
    freed = Map.copyOf(freed);
    wanted = Map.copyOf(wanted);
    long sum = 0;
    for (Map<String, Integer> part : List.of(fractions, freed)) {
      for (int ppm : part.values()) {
        if (ppm < 0) {
          throw new IllegalArgumentException("negative fraction");
        }
        sum += ppm;
      }
    }
    if (sum > LimitValues.MILLION) {
      throw new IllegalArgumentException("fractions sum to " + sum);
    }
  }

  /** Returns the same fraction for each failure domain. */
  public static MemberShares equalSplit(Collection<String> domains) {
    Map<String, Integer> fractions = new TreeMap<>();
    domains.forEach(domain -> fractions.put(domain, LimitValues.MILLION / domains.size()));
    return new MemberShares(fractions, Map.of(), Map.of());
  }

  /** Reads fractions from JSON; the result of a sum above the whole is no fraction at all. */
  static MemberShares fromSpec(JsonNode spec) {
    try {
      return new MemberShares(
          read(spec.path(FRACTIONS)), read(spec.path(FREED)), read(spec.path(WANTED)));
    } catch (IllegalArgumentException invalid) {
      return new MemberShares(Map.of(), Map.of(), Map.of());
    }
  }

  private static Map<String, Integer> read(JsonNode node) {
    Map<String, Integer> map = new TreeMap<>();
    node.fields().forEachRemaining(field -> map.put(field.getKey(), field.getValue().asInt()));
    return map;
  }

  // -----------------------------------------------------------------------

  /** Returns the fraction of a failure domain, 0 if it has none. */
  public int fraction(String domain) {
    return fractions.getOrDefault(domain, 0);
  }

  /** Returns the fraction that a giver has freed and that is not taken yet. */
  public int freedBy(String domain) {
    return freed.getOrDefault(domain, 0);
  }

  /** Returns a copy in which a failure domain gives up part of its fraction. */
  public MemberShares withFreed(String giver, int ppm) {
    return changed(giver, -ppm, giver, ppm);
  }

  /** Returns a copy in which a failure domain takes what a giver has freed. */
  public MemberShares withTaken(String taker, String giver, int ppm) {
    return changed(taker, ppm, giver, -ppm);
  }

  /** Returns a copy in which a failure domain wants another fraction, 0 for none. */
  MemberShares withWanted(String domain, int ppm) {
    Map<String, Integer> changed = new TreeMap<>(wanted);
    changed.put(domain, ppm);
    changed.values().removeIf(value -> value == 0);
    return new MemberShares(fractions, freed, changed);
  }

  private MemberShares changed(String domain, int fractionChange, String giver, int freedChange) {
    Map<String, Integer> newFractions = new TreeMap<>(fractions);
    newFractions.merge(domain, fractionChange, Integer::sum);
    Map<String, Integer> newFreed = new TreeMap<>(freed);
    newFreed.merge(giver, freedChange, Integer::sum);
    newFreed.values().removeIf(ppm -> ppm == 0);
    return new MemberShares(newFractions, newFreed, wanted);
  }

  /** Returns the fractions as JSON. */
  ObjectNode toSpec() {
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    ObjectNode fractionsNode = spec.putObject(FRACTIONS);
    new TreeMap<>(fractions).forEach(fractionsNode::put);
    if (!freed.isEmpty()) {
      ObjectNode freedNode = spec.putObject(FREED);
      new TreeMap<>(freed).forEach(freedNode::put);
    }
    if (!wanted.isEmpty()) {
      ObjectNode wantedNode = spec.putObject(WANTED);
      new TreeMap<>(wanted).forEach(wantedNode::put);
    }
    return spec;
  }
}
