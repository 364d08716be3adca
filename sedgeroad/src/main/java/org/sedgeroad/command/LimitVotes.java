package org.sedgeroad.command;

import java.util.OptionalLong;
import org.sedgeroad.limit.LimitValues;
import org.sedgeroad.limit.VoteResult;
import org.sedgeroad.limit.VoteService;

/** Puts limits in force through the vote service, which refuses what can't be kept. */
public final class LimitVotes implements VoteAction {
  private final VoteService votes;

  private LimitVotes(VoteService votes) {
    this.votes = votes;
  }

  /** Returns an action that votes through a service. */
  public static LimitVotes of(VoteService votes) {
    return new LimitVotes(votes);
  }

  @Override
  public CommandResult vote(String member, LimitKind kind, String value, OptionalLong version) {
    org.sedgeroad.limit.LimitKind voted =
        org.sedgeroad.limit.LimitKind.find(kind.toText()).orElseThrow();
    long number =
        kind == LimitKind.JOB_DEADLINE
            ? LimitValues.minuteOfDay(value).orElse(-1)
            : Long.parseLong(value);
    VoteResult result = votes.vote(member, voted, number, version);
    if (result instanceof VoteResult.Accepted accepted) {
      return CommandResult.done(
          LimitCommands.header().add(member, kind.toText(), value, accepted.version()).build());
    }
    if (result instanceof VoteResult.Conflict conflict) {
      return CommandResult.lost(
          "another vote on the limits of " + member + " was first",
          "version " + conflict.version() + ": " + conflict.values().toSpec());
    }
    if (result instanceof VoteResult.Refused refused) {
      return CommandResult.refused(refused.reason());
    }
    if (result instanceof VoteResult.Unavailable unavailable) {
      return new CommandResult.Unavailable(unavailable.reason(), unavailable.retryAt());
    }
    return new CommandResult.OutcomeUnknown(((VoteResult.Unknown) result).reason());
  }
}
