package org.sedgeroad.command;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.limit.InForceReport;
import org.sedgeroad.limit.InstanceVersion;
import org.sedgeroad.limit.LimitKind;
import org.sedgeroad.limit.LimitValues;
import org.sedgeroad.limit.MemberLimits;
import org.sedgeroad.limit.VoteResult;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;

/** Executes statements about voted limits. */
final class LimitCommands {
  private static final int MAX_ATTEMPTS = 5;

  private final ObjectChanges changes;
  private final ConfigurationReplica replica;
  private final VoteAction votes;
  private final AppliedLimitVersions appliedVersions;

  LimitCommands(
      ObjectChanges changes,
      ConfigurationReplica replica,
      VoteAction votes,
      AppliedLimitVersions appliedVersions) {
    this.changes = changes;
    this.replica = replica;
    this.votes = votes;
    this.appliedVersions = appliedVersions;
  }

  CommandResult set(Statement.SetLimit statement) {
    OptionalLong value = LimitTexts.parse(statement.kind(), statement.value());
    if (value.isEmpty()) {
      return CommandResult.refused(
          statement.kind().toText()
              + " must be "
              + LimitTexts.expectation(statement.kind())
              + ", found '"
              + statement.value()
              + "'");
    }
    if (!statement.member().equals(MemberLimits.DEFAULT_NAME)) {
      StoreResult<StoredObject> member = changes.get(Kinds.MEMBERS, statement.member());
      if (member instanceof StoreResult.Absent) {
        return MemberCommands.noSuchMember(statement.member());
      }
      if (!(member instanceof StoreResult.Done)) {
        return ObjectChanges.unavailable(member);
      }
    }
    StoreResult<StoredObject> read = changes.get(Kinds.LIMITS, statement.member());
    if (read instanceof StoreResult.Done<StoredObject> done) {
      return vote(statement, value.getAsLong(), MemberLimits.fromObject(done.value()).current());
    }
    return read instanceof StoreResult.Absent
        ? vote(statement, value.getAsLong(), LimitValues.unlimited())
        : ObjectChanges.unavailable(read);
  }

  /** Votes; repeats the vote if only other limits of the member have changed since the read. */
  private CommandResult vote(Statement.SetLimit statement, long value, LimitValues initial) {
    LimitKind kind = statement.kind();
    VoteResult result = votes.vote(statement.member(), kind, value, statement.version());
    for (int attempt = 1; attempt < MAX_ATTEMPTS; attempt++) {
      boolean otherLimitChanged =
          result instanceof VoteResult.Conflict conflict
              && statement.version().isEmpty()
              && conflict.values().value(kind).equals(initial.value(kind));
      if (!otherLimitChanged) {
        break;
      }
      result = votes.vote(statement.member(), kind, value, statement.version());
    }
    return toResult(statement, value, result);
  }

  private static CommandResult toResult(
      Statement.SetLimit statement, long value, VoteResult result) {
    if (result instanceof VoteResult.Accepted accepted) {
      return newTable()
          .add(
              statement.member(),
              statement.kind().toText(),
              LimitTexts.format(statement.kind(), value),
              accepted.version(),
              "accepted")
          .toResult();
    }
    if (result instanceof VoteResult.Conflict conflict) {
      return CommandResult.conflict(
          "another vote won",
          "limits/"
              + statement.member()
              + " version "
              + conflict.version()
              + ": "
              + conflict.values().toSpec());
    }
    if (result instanceof VoteResult.Refused refused) {
      return CommandResult.refused(refused.reason());
    }
    if (result instanceof VoteResult.Unavailable unavailable) {
      return new CommandResult.Unavailable(unavailable.reason(), unavailable.retryAt());
    }
    return new CommandResult.OutcomeUnknown(((VoteResult.Unknown) result).reason());
  }

  CommandResult show(Statement.ShowLimits statement) {
    if (statement.member().isEmpty()) {
      return limitsResult(replica.list(Kinds.LIMITS), statement.inForce());
    }
    String member = statement.member().get();
    StoreResult<StoredObject> found = changes.get(Kinds.LIMITS, member);
    if (found instanceof StoreResult.Done<StoredObject> done) {
      return limitsResult(List.of(done.value()), statement.inForce());
    }
    if (!(found instanceof StoreResult.Absent)) {
      return ObjectChanges.unavailable(found);
    }
    return replica.find(Kinds.MEMBERS, member).isPresent()
        ? limitsResult(List.of(), statement.inForce())
        : MemberCommands.noSuchMember(member);
  }

  private CommandResult limitsResult(List<StoredObject> objects, boolean inForce) {
    return inForce ? inForceResult(objects) : valuesResult(objects);
  }

  private static CommandResult valuesResult(List<StoredObject> objects) {
    TableBuilder table = newTable();
    for (StoredObject object : objects) {
      MemberLimits limits = MemberLimits.fromObject(object);
      String state = MemberLimits.isAnnounced(object.spec()) ? "announced" : "accepted";
      for (LimitKind kind : LimitKind.values()) {
        OptionalLong value = limits.current().value(kind);
        if (value.isPresent()) {
          String text = LimitTexts.format(kind, value.getAsLong());
          table.add(object.name(), kind.toText(), text, object.version(), state);
        }
      }
    }
    return table.toResult();
  }

  private CommandResult inForceResult(List<StoredObject> objects) {
    TableBuilder table = new TableBuilder("member", "version", "instance", "applied", "in_force");
    Map<String, Long> versions = appliedVersions.limitVersions();
    for (StoredObject object : objects) {
      InForceReport report =
          InForceReport.of(object.name(), MemberLimits.fromObject(object), versions);
      for (InstanceVersion instance : report.instances()) {
        table.add(
            report.member(),
            report.version(),
            instance.instance(),
            instance.version(),
            instance.inForce() ? "yes" : "no");
      }
    }
    return table.toResult();
  }

  private static TableBuilder newTable() {
    return new TableBuilder("member", "limit", "value", "version", "state");
  }
}
