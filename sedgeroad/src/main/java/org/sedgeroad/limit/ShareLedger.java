package org.sedgeroad.limit;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Ledger of one shard: divides, for each member, the part of its limits that is not isolated over
 * the failure domains.
 *
 * <p>Fractions are relative to the part that is not isolated. A vote on the isolated share and a
 * transfer write different objects, and with relative fractions they can't exceed the limit
 * together.
 *
 * @param version store version, 0 if the ledger does not exist yet
 * @param members shares of each member that has other ones than the equal split
 */
public record ShareLedger(long version, Map<String, MemberShares> members) {
  /** Number of ledger objects; members are assigned to them by hash. */
  public static final int SHARDS = 16;

  private static final String MEMBERS = "members";

  /** Creates a ledger with a copy of the map. */
  public ShareLedger {
    members = Map.copyOf(members);
  }

  /** Returns the ledger that applies before the object exists. */
  public static ShareLedger none() {
    return new ShareLedger(0, Map.of());
  }

  /** Returns the name of the ledger object that holds a member. */
  public static String shardOf(String member) {
    long hash = Hashing.komihash5_0().hashCharsToLong(member);
    return nameOf((int) Long.remainderUnsigned(hash, SHARDS));
  }

  /** Returns the name of a ledger object, 0 to {@link #SHARDS} - 1. */
  static String nameOf(int shard) {
    return "shard-" + shard;
  }

  /** Reads a ledger from its content. */
  public static ShareLedger fromSpec(long version, JsonNode spec) {
    Map<String, MemberShares> members = new TreeMap<>();
    spec.path(MEMBERS)
        .fields()
        .forEachRemaining(
            field -> members.put(field.getKey(), MemberShares.fromSpec(field.getValue())));
    return new ShareLedger(version, members);
  }

  /** Returns the shares of a member, the equal split if the ledger has none for it. */
  public MemberShares of(String member, Collection<String> domains) {
    MemberShares shares = members.get(member);
    return shares == null ? MemberShares.equalSplit(domains) : shares;
  }

  /** Returns a copy with the shares of one member replaced. */
  public ShareLedger with(String member, MemberShares shares) {
    Map<String, MemberShares> changed = new TreeMap<>(members);
    changed.put(member, shares);
    return new ShareLedger(version, changed);
  }

  /** Returns the content of the ledger object. */
  public ObjectNode toSpec() {
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    ObjectNode map = spec.putObject(MEMBERS);
    new TreeMap<>(members).forEach((member, shares) -> map.set(member, shares.toSpec()));
    return spec;
  }
}
