package org.sedgeroad.limit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Division of one member's limits over the failure domains, in parts per million of the part that
 * is not isolated.
 *
 * @param fractions fraction of each failure domain
 * @param freed fraction that each failure domain has given up and none has taken yet
 * @param wanted additional fraction that each failure domain requests
 */
public record MemberShares(
    Map<String, Integer> fractions, Map<String, Integer> freed, Map<String, Integer> wanted) {
  private static final String WANTED = "wanted";
  private static final String FREED = "freed";
  private static final String FRACTIONS = "fractions";

  /**
   * Creates shares with copies of the maps.
   *
   * @throws IllegalArgumentException if a fraction is negative or the sum of all fractions, freed
   *     ones included, is above 1,000,000
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

  /** Returns shares with the same fraction for each failure domain. */
  public static MemberShares equalSplit(Collection<String> domains) {
    Map<String, Integer> fractions = new TreeMap<>();
    domains.forEach(domain -> fractions.put(domain, LimitValues.MILLION / domains.size()));
    return new MemberShares(fractions, Map.of(), Map.of());
  }

  /**
   * Reads shares from JSON; invalid ones, such as a sum above the whole, result in no fractions.
   */
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

  /** Returns the fraction of a failure domain, 0 if it has none. */
  public int fraction(String domain) {
    return fractions.getOrDefault(domain, 0);
  }

  /** Returns the fraction that a failure domain has freed and that has not been taken yet. */
  public int freedBy(String domain) {
    return freed.getOrDefault(domain, 0);
  }

  /** Returns a copy in which a failure domain frees part of its fraction. */
  public MemberShares withFreed(String giver, int ppm) {
    return changed(giver, -ppm, giver, ppm);
  }

  /** Returns a copy in which a failure domain takes a fraction that another one has freed. */
  public MemberShares withTaken(String taker, String giver, int ppm) {
    return changed(taker, ppm, giver, -ppm);
  }

  /** Returns a copy in which a failure domain requests an additional fraction, 0 for none. */
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

  /** Returns the shares as JSON. */
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
