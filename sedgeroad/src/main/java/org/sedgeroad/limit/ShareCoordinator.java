package org.sedgeroad.limit;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.StoreWriter;

/**
 * Moves shares between failure domains by demand, with one conditional update of a ledger per step.
 *
 * <p>The coordinator of a member in a failure domain runs on the owner of its token buckets, which
 * measures the demand. A conflicting update of the ledger, or a lost answer, only delays a step.
 * Not thread-safe.
 */
public final class ShareCoordinator {
  /** Time between two steps, in milliseconds. */
  public static final long STEP_MILLIS = 5_000;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NO_GIVING_AFTER_TAKING_NANOS = 3 * STEP_MILLIS * NANOS_PER_MILLI;
  // Limits the writes of 410 instances to 82 per second when the demand of all members changes.
  private static final int WRITES_PER_STEP = 1;

  private final StoreWriter writer;
  private final Grantor grantor;
  private final Function<String, ShareLedger> ledgers;
  private final Supplier<Map<String, DomainRecord>> records;
  private final List<String> domains;
  private final SharePlanner planner;
  private final Map<String, Long> takenAtNanos = new HashMap<>();
  private final Map<FreedFraction, Long> firstSeenVersions = new HashMap<>();
  private String lastWritten = "";

  /**
   * Creates a coordinator.
   *
   * @param writer writes the ledgers
   * @param grantor measures the demand
   * @param ledgers returns the ledger of a shard as this instance has applied it
   * @param records last read records of the failure domains
   * @param domain failure domain of this instance
   * @param domains all failure domains
   */
  public ShareCoordinator(
      StoreWriter writer,
      Grantor grantor,
      Function<String, ShareLedger> ledgers,
      Supplier<Map<String, DomainRecord>> records,
      String domain,
      List<String> domains) {
    this.writer = writer;
    this.grantor = grantor;
    this.ledgers = ledgers;
    this.records = records;
    this.domains = List.copyOf(domains);
    this.planner = new SharePlanner(domain, domains.size());
  }

  /**
   * Takes one step for the members that this instance owns; must be called every {@link
   * #STEP_MILLIS}. Blocks until the store has answered.
   */
  public void step(long nowNanos) {
    takenAtNanos.values().removeIf(time -> nowNanos - time >= NO_GIVING_AFTER_TAKING_NANOS);
    int writes = 0;
    Map<FreedFraction, Long> seen = new HashMap<>();
    // Starts after the member written last, so that no member is starved.
    TreeMap<String, Demand> demands = demands(nowNanos);
    Map<String, Demand> rotated = new LinkedHashMap<>(demands.tailMap(lastWritten, false));
    rotated.putAll(demands.headMap(lastWritten, true));
    for (Map.Entry<String, Demand> entry : rotated.entrySet()) {
      String member = entry.getKey();
      ShareLedger ledger = ledgers.apply(ShareLedger.shardOf(member));
      MemberShares current = ledger.of(member, domains);
      for (Map.Entry<String, Integer> freed : current.freed().entrySet()) {
        FreedFraction fraction = new FreedFraction(member, freed.getKey(), freed.getValue());
        seen.put(fraction, firstSeenVersions.getOrDefault(fraction, ledger.version()));
      }
      if (writes < WRITES_PER_STEP) {
        Optional<MemberShares> next =
            planner.next(
                current,
                entry.getValue(),
                !takenAtNanos.containsKey(member),
                giver ->
                    isApplied(
                        giver, seen.get(new FreedFraction(member, giver, current.freedBy(giver)))));
        if (next.isPresent()) {
          writes++;
          lastWritten = member;
          write(member, ledger, current, next.get(), nowNanos);
        }
      }
    }
    firstSeenVersions.clear();
    firstSeenVersions.putAll(seen);
  }

  /** Returns the demand for each member owned here, 0 if it only has a pending transfer. */
  private TreeMap<String, Demand> demands(long nowNanos) {
    TreeMap<String, Demand> demands = new TreeMap<>(grantor.takeDemands(nowNanos));
    for (int shard = 0; shard < ShareLedger.SHARDS; shard++) {
      ledgers
          .apply(ShareLedger.nameOf(shard))
          .members()
          .forEach(
              (member, shares) -> {
                boolean transferPending = !shares.wanted().isEmpty() || !shares.freed().isEmpty();
                if (transferPending && grantor.mayGrant(member, nowNanos)) {
                  demands.putIfAbsent(member, new Demand(0, false));
                }
              });
    }
    return demands;
  }

  /** Returns whether all instances of a giver have applied the ledger with the freed fraction. */
  private boolean isApplied(String giver, long version) {
    DomainRecord record = records.get().get(giver);
    return record != null && record.sharesVersion() >= version;
  }

  private void write(
      String member, ShareLedger ledger, MemberShares before, MemberShares after, long nowNanos) {
    String shard = ShareLedger.shardOf(member);
    var spec = ledger.with(member, after).toSpec();
    if (ledger.version() == 0) {
      writer.create(Kinds.SHARES, shard, spec);
    } else {
      writer.update(Kinds.SHARES, shard, ledger.version(), spec);
    }
    if (after.fraction(planner.domain()) > before.fraction(planner.domain())) {
      takenAtNanos.put(member, nowNanos);
    }
  }

  private record FreedFraction(String member, String giver, int ppm) {}
}
