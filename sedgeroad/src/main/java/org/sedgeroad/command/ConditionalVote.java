package org.sedgeroad.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalLong;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;

/**
 * Sets a limit by one conditional update of the member's limits.
 *
 * <p>Does not look at what cut-off failure domains may still use.
 */
public final class ConditionalVote implements VoteAction {
  private final ObjectChanges changes;

  private ConditionalVote(ObjectChanges changes) {
    this.changes = changes;
  }

  /** Returns an action that writes through a writer. */
  public static ConditionalVote of(StoreWriter writer) {
    return new ConditionalVote(new ObjectChanges(writer));
  }

  @Override
  public CommandResult vote(String member, LimitKind kind, String value, OptionalLong version) {
    StoreResult<StoredObject> found = changes.get(Kinds.LIMITS, member);
    if (found instanceof StoreResult.Absent) {
      if (version.isPresent() && version.getAsLong() != 0) {
        return ObjectChanges.lost(Kinds.LIMITS, member, "has another version", null);
      }
      CommandResult created =
          changes.create(
              Kinds.LIMITS,
              member,
              set(JsonNodeFactory.instance.objectNode(), kind, value),
              object -> describe(object, kind));
      boolean exists = created instanceof CommandResult.Refused && version.isEmpty();
      if (!exists) {
        return created;
      }
      // The first vote on another limit of the member came between reading and creating.
      found = changes.get(Kinds.LIMITS, member);
    }
    return changes.change(
        found,
        version,
        spec -> spec.path(kind.toField()),
        spec -> set(spec, kind, value),
        object -> describe(object, kind));
  }

  private static Table describe(StoredObject object, LimitKind kind) {
    return LimitCommands.header()
        .add(
            object.name(),
            kind.toText(),
            object.spec().path(kind.toField()).asText(),
            object.version())
        .build();
  }

  private static ObjectNode set(ObjectNode spec, LimitKind kind, String value) {
    return kind == LimitKind.JOB_DEADLINE
        ? spec.put(kind.toField(), value)
        : spec.put(kind.toField(), Long.parseLong(value));
  }
}
