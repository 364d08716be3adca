package org.sedgeroad.limit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.StoredObject;

/**
 * A member's limits at one version, with the earlier values that a failure domain may still apply.
 *
 * @param version store version of the limits, at least 1
 * @param current the values of this version, accepted or only announced
 * @param older earlier values, oldest first
 */
public record MemberLimits(long version, LimitValues current, List<OlderLimits> older) {
  /** Name of the object whose values apply to each member that has no object of its own. */
  public static final String DEFAULT_NAME = "default";

  private static final String OLDER = "older";
  private static final String ACCEPTED = "accepted";
  private static final String VERSION = "version";

  /** Creates limits with a copy of the list. */
  public MemberLimits {
    older = List.copyOf(older);
  }

  /** Reads limits from the stored object. */
  public static MemberLimits fromObject(StoredObject object) {
    List<OlderLimits> older = new ArrayList<>();
    for (JsonNode node : object.spec().path(OLDER)) {
      older.add(new OlderLimits(node.path(VERSION).asLong(), LimitValues.fromSpec(node)));
    }
    LimitValues current = LimitValues.fromSpec(object.spec());
    return new MemberLimits(object.version(), current, older);
  }

  /** Finds the limits of a member: its own, else the default ones; empty if it is unlimited. */
  public static Optional<MemberLimits> find(ConfigurationReplica replica, String member) {
    return replica
        .find(Kinds.LIMITS, member)
        .or(() -> replica.find(Kinds.LIMITS, DEFAULT_NAME))
        .map(MemberLimits::fromObject);
  }

  /** Returns the content of an object with the given values. */
  static ObjectNode spec(LimitValues values, List<OlderLimits> older) {
    ObjectNode spec = values.toSpec();
    ArrayNode list = spec.putArray(OLDER);
    for (OlderLimits entry : older) {
      list.add(entry.values().toSpec().put(VERSION, entry.version()));
    }
    return spec;
  }

  /**
   * Returns whether the values are only announced: instances apply them already, but the vote is
   * not accepted yet and may be reverted.
   */
  public static boolean isAnnounced(JsonNode spec) {
    return spec.has(ACCEPTED);
  }

  /** Marks the content of an object as announced; a revert restores the accepted values. */
  static ObjectNode asAnnounced(ObjectNode spec, LimitValues accepted) {
    spec.set(ACCEPTED, accepted.toSpec());
    return spec;
  }

  /** Returns the last accepted values: the current ones, unless they are only announced. */
  static LimitValues accepted(JsonNode spec) {
    return LimitValues.fromSpec(isAnnounced(spec) ? spec.path(ACCEPTED) : spec);
  }

  /**
   * Returns the values that a lease holder may currently apply, given the version up to which it is
   * known to have applied every change. They always include the current values.
   */
  public List<LimitValues> possibleAt(long appliedVersion) {
    List<LimitValues> possible = new ArrayList<>();
    for (int i = 0; i < older.size(); i++) {
      long replacedAt = i + 1 < older.size() ? older.get(i + 1).version() : version;
      if (appliedVersion < replacedAt) {
        possible.add(older.get(i).values());
      }
    }
    possible.add(current);
    return possible;
  }
}
