package org.sedgeroad.limit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WriteOutcome;

/**
 * Puts voted limits into force by conditional updates of the store.
 *
 * <p>A raised limit needs one write. A lowered limit, or another isolated share, is announced
 * first: the failure domains apply the announced values. A second write accepts the vote once the
 * failure domains that have not confirmed the values can't exceed them; otherwise it reverts the
 * values and rejects the vote with {@link VoteResult.Refused}. An accepted limit can therefore be
 * enforced at once, whichever failure domains are cut off later. Thread-safe; calls block for up to
 * several seconds.
 */
public final class VoteService {
  // A cut-off failure domain may use its share until its lease of 6 s must have expired.
  private static final long CONFIRM_MILLIS = 9_000;
  private static final String BASE = "base";
  private static final long POLL_MILLIS = 100;

  private final StoreWriter writer;
  private final Supplier<Optional<Map<String, DomainRecord>>> records;
  private final List<String> domains;
  private final VoteRule rule;
  private final MonotonicClock clock;

  /**
   * Creates a service.
   *
   * @param writer writes to the store
   * @param records reads the lease objects, empty if the store can't be reached
   * @param domains all failure domains
   * @param clock monotonic clock
   */
  public VoteService(
      StoreWriter writer,
      Supplier<Optional<Map<String, DomainRecord>>> records,
      List<String> domains,
      MonotonicClock clock) {
    this.writer = writer;
    this.records = records;
    this.domains = List.copyOf(domains);
    this.rule = new VoteRule(domains);
    this.clock = clock;
  }

  /** Submits a vote for one value, whatever the current limits of the member are. */
  public VoteResult vote(String member, LimitKind kind, long value) {
    return vote(member, kind, value, OptionalLong.empty());
  }

  /**
   * Submits a vote for one value. A vote can be repeated safely: one that is already in force is
   * accepted.
   *
   * @param member the member, or {@code default} for all members without limits of their own
   * @param kind kind of the limit
   * @param value the value, in the unit of the kind
   * @param baseVersion version of the limits that the vote is based on, 0 if there were none, empty
   *     for any version; the vote fails with a conflict if another vote has replaced that version
   */
  public VoteResult vote(String member, LimitKind kind, long value, OptionalLong baseVersion) {
    if (!kind.isValid(value)) {
      return new VoteResult.Refused(kind.toText() + " out of range: " + value, List.of());
    }
    return vote(member, values -> values.with(kind, value), baseVersion);
  }

  /**
   * Submits a vote for the isolated share.
   *
   * @param member the member, or {@code default} for all members without limits of their own
   * @param ppm parts per million of the rates, 0 to 1,000,000
   * @param baseVersion version of the limits that the vote is based on, 0 if there were none, empty
   *     for any version
   */
  public VoteResult voteIsolated(String member, int ppm, OptionalLong baseVersion) {
    if (ppm < 0 || ppm > LimitValues.MILLION) {
      return new VoteResult.Refused("isolated share out of range: " + ppm, List.of());
    }
    return vote(member, values -> values.withIsolatedPpm(ppm), baseVersion);
  }

  private VoteResult vote(
      String member, UnaryOperator<LimitValues> change, OptionalLong baseVersion) {
    StoreResult<StoredObject> read = writer.store().get(Kinds.LIMITS, member);
    Optional<Map<String, DomainRecord>> domainRecords = records.get();
    boolean readable = read instanceof StoreResult.Done || read instanceof StoreResult.Absent;
    if (!readable || domainRecords.isEmpty()) {
      return unavailable("the store can't be read: " + read);
    }
    if (read instanceof StoreResult.Done<StoredObject> done) {
      return replace(member, done.value(), change, baseVersion, domainRecords.get());
    }
    if (baseVersion.orElse(0) != 0) {
      return new VoteResult.Conflict(0, LimitValues.unlimited());
    }
    Optional<MemberLimits> inherited = inherited(member);
    if (inherited.isEmpty()) {
      return unavailable("the default limits can't be read");
    }
    MemberLimits before = inherited.get();
    LimitValues wanted = change.apply(before.current());
    return write(member, before, 0, before.current(), wanted, domainRecords.get());
  }

  private VoteResult replace(
      String member,
      StoredObject stored,
      UnaryOperator<LimitValues> change,
      OptionalLong baseVersion,
      Map<String, DomainRecord> domainRecords) {
    MemberLimits before = MemberLimits.fromObject(stored);
    LimitValues wanted = change.apply(before.current());
    boolean same = wanted.equals(before.current());
    if (baseVersion.isPresent() && baseVersion.getAsLong() != stored.version()) {
      boolean sameVote = same && stored.spec().path(BASE).asLong(-1) == baseVersion.getAsLong();
      if (!sameVote) {
        return new VoteResult.Conflict(stored.version(), before.current());
      }
    }
    if (same) {
      return MemberLimits.isAnnounced(stored.spec())
          ? confirm(member, stored)
          : new VoteResult.Accepted(stored.version());
    }
    LimitValues accepted = MemberLimits.accepted(stored.spec());
    return write(member, before, stored.version(), accepted, wanted, domainRecords);
  }

  private VoteResult write(
      String member,
      MemberLimits before,
      long version,
      LimitValues accepted,
      LimitValues wanted,
      Map<String, DomainRecord> domainRecords) {
    List<OlderLimits> older = VoteRule.possiblyApplied(before, domainRecords);
    if (older.size() > VoteRule.MAX_OLDER) {
      return new VoteResult.Refused(
          "too many earlier values may still be applied by cut-off failure domains", List.of());
    }
    boolean enforceable = VoteRule.isRaise(accepted, wanted);
    ObjectNode spec = MemberLimits.spec(wanted, older).put(BASE, version);
    WriteOutcome outcome =
        put(member, version, enforceable ? spec : MemberLimits.asAnnounced(spec, accepted));
    if (!(outcome instanceof WriteOutcome.Written written)) {
      return toResult(outcome);
    }
    return enforceable
        ? new VoteResult.Accepted(written.object().version())
        : confirm(member, written.object());
  }

  /** Accepts announced values once they can be enforced, else reverts them. */
  private VoteResult confirm(String member, StoredObject stored) {
    MemberLimits announced = MemberLimits.fromObject(stored);
    long deadline = clock.deadlineAfterMillis(CONFIRM_MILLIS);
    List<String> exceeding = List.of();
    boolean enforceable = false;
    while (!enforceable) {
      Optional<Map<String, DomainRecord>> domainRecords = records.get();
      Optional<MemberShares> shares = shares(member);
      if (domainRecords.isPresent() && shares.isPresent()) {
        exceeding = rule.domainsThatMayExceed(announced, shares.get(), domainRecords.get());
        enforceable = exceeding.isEmpty();
      }
      if (!enforceable && (clock.hasPassed(deadline) || !pause())) {
        break;
      }
    }
    List<OlderLimits> older = new ArrayList<>(announced.older());
    older.add(new OlderLimits(announced.version(), announced.current()));
    LimitValues values = enforceable ? announced.current() : MemberLimits.accepted(stored.spec());
    ObjectNode spec = MemberLimits.spec(values, older);
    if (enforceable) {
      spec.set(BASE, stored.spec().path(BASE));
    }
    WriteOutcome outcome = put(member, stored.version(), spec);
    if (!(outcome instanceof WriteOutcome.Written written)) {
      return toResult(outcome);
    }
    return enforceable
        ? new VoteResult.Accepted(written.object().version())
        : new VoteResult.Refused(
            "the failure domains " + exceeding + " may use more and have not confirmed the vote",
            exceeding);
  }

  private Optional<MemberShares> shares(String member) {
    String shard = ShareLedger.shardOf(member);
    StoreResult<StoredObject> read = writer.store().get(Kinds.SHARES, shard);
    if (read instanceof StoreResult.Done<StoredObject> done) {
      ShareLedger ledger = ShareLedger.fromSpec(done.value().version(), done.value().spec());
      return Optional.of(ledger.of(member, domains));
    }
    return read instanceof StoreResult.Absent
        ? Optional.of(MemberShares.equalSplit(domains))
        : Optional.empty();
  }

  private WriteOutcome put(String member, long version, ObjectNode spec) {
    return version == 0
        ? writer.create(Kinds.LIMITS, member, spec)
        : writer.update(Kinds.LIMITS, member, version, spec);
  }

  private Optional<MemberLimits> inherited(String member) {
    if (!member.equals(MemberLimits.DEFAULT_NAME)) {
      StoreResult<StoredObject> read = writer.store().get(Kinds.LIMITS, MemberLimits.DEFAULT_NAME);
      if (read instanceof StoreResult.Done<StoredObject> done) {
        return Optional.of(MemberLimits.fromObject(done.value()));
      }
      if (!(read instanceof StoreResult.Absent)) {
        return Optional.empty();
      }
    }
    // Version 1 represents the limits before the first vote.
    return Optional.of(new MemberLimits(1, LimitValues.unlimited(), List.of()));
  }

  private static VoteResult toResult(WriteOutcome outcome) {
    if (outcome instanceof WriteOutcome.Lost lost) {
      StoredObject current = lost.current();
      return current == null
          ? new VoteResult.Conflict(0, LimitValues.unlimited())
          : new VoteResult.Conflict(current.version(), MemberLimits.fromObject(current).current());
    }
    if (outcome instanceof WriteOutcome.NotWritten notWritten) {
      return new VoteResult.Unavailable(notWritten.reason(), notWritten.retryAt());
    }
    return new VoteResult.Unknown(((WriteOutcome.Unknown) outcome).reason());
  }

  private static VoteResult unavailable(String reason) {
    return new VoteResult.Unavailable(reason, Instant.now().plusSeconds(1));
  }

  private static boolean pause() {
    try {
      Thread.sleep(POLL_MILLIS);
      return true;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
