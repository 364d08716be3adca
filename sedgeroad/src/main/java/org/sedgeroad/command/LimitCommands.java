package org.sedgeroad.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;

/** Statements about voted limits. */
final class LimitCommands {
  private final ObjectChanges changes;
  private final ConfigurationReplica replica;
  private final VoteAction votes;
  private final AppliedVersions applied;

  LimitCommands(
      ObjectChanges changes,
      ConfigurationReplica replica,
      VoteAction votes,
      AppliedVersions applied) {
    this.changes = changes;
    this.replica = replica;
    this.votes = votes;
    this.applied = applied;
  }

  CommandResult set(Statement.SetLimit statement) {
    Optional<String> value = statement.kind().normalize(statement.value());
    if (value.isEmpty()) {
      return CommandResult.refused(
          statement.kind().toText()
              + " must be "
              + statement.kind().expectation()
              + ", found '"
              + statement.value()
              + "'");
    }
    StoreResult<StoredObject> member = changes.get(Kinds.MEMBERS, statement.member());
    if (member instanceof StoreResult.Absent) {
      return MemberCommands.missing(statement.member());
    }
    if (!(member instanceof StoreResult.Done)) {
      return ObjectChanges.unavailable(member);
    }
    return votes.vote(statement.member(), statement.kind(), value.get(), statement.version());
  }

  CommandResult show(Statement.ShowLimits statement) {
    if (statement.member().isEmpty()) {
      return CommandResult.done(table(replica.list(Kinds.LIMITS), statement.inForce()));
    }
    String member = statement.member().get();
    StoreResult<StoredObject> found = changes.get(Kinds.LIMITS, member);
    if (found instanceof StoreResult.Done<StoredObject> done) {
      return CommandResult.done(table(List.of(done.value()), statement.inForce()));
    }
    if (!(found instanceof StoreResult.Absent)) {
      return ObjectChanges.unavailable(found);
    }
    return replica.find(Kinds.MEMBERS, member).isPresent()
        ? CommandResult.done(table(List.of(), statement.inForce()))
        : MemberCommands.missing(member);
  }

  static TableBuilder header() {
    return new TableBuilder("member", "limit", "value", "version");
  }

  // -----------------------------------------------------------------------

  private Table table(List<StoredObject> objects, boolean inForce) {
    return inForce ? inForce(objects) : values(objects);
  }

  private static Table values(List<StoredObject> objects) {
    TableBuilder table = header();
    for (StoredObject object : objects) {
      for (LimitKind kind : LimitKind.values()) {
        JsonNode value = object.spec().path(kind.toField());
        if (!value.isMissingNode()) {
          table.add(object.name(), kind.toText(), value.asText(), object.version());
        }
      }
    }
    return table.build();
  }

  private Table inForce(List<StoredObject> objects) {
    TableBuilder table = new TableBuilder("member", "version", "instance", "applied", "in_force");
    for (StoredObject object : objects) {
      Map<String, Long> versions = new TreeMap<>(applied.ofMember(object.name()));
      for (Map.Entry<String, Long> entry : versions.entrySet()) {
        table.add(
            object.name(),
            object.version(),
            entry.getKey(),
            entry.getValue(),
            entry.getValue() >= object.version() ? "yes" : "no");
      }
    }
    return table.build();
  }
}
