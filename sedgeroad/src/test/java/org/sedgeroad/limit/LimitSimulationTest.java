package org.sedgeroad.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.lease.LeaseTable;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;

/** Simulates the owners of all failure domains in virtual time under random faults. */
class LimitSimulationTest {
  private static final int STEP_MILLIS = 50;
  private static final List<String> DOMAINS = List.of("a", "b", "c");
  private static final String MEMBER = "lenga";
  // Longest time after acceptance until the limit must be in force everywhere.
  private static final long IN_FORCE_MILLIS = 2_000;

  @Nested
  class WithFaults {

    /**
     * Guards against use above the limit under any mix of partitions, pauses, restarts and votes.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void useStaysWithinTheLimitInForce(int seed) {
      Simulation simulation = new Simulation(seed);
      for (int step = 0; step < 12_000; step++) {
        simulation.step(true);
      }
      assertTrue(
          simulation.granted > 1_000, "seed " + seed + " granted only " + simulation.granted);
      assertTrue(
          simulation.votes > 3, "seed " + seed + " accepted only " + simulation.votes + " votes");
    }
  }

  @Nested
  class WithoutFaults {

    /** Guards against a limit that can't be used although there is no fault. */
    @Test
    void almostTheWholeLimitCanBeUsed() {
      Simulation simulation = new Simulation(99);
      for (int step = 0; step < 600; step++) {
        simulation.step(false);
      }
      long before = simulation.granted;
      for (int step = 0; step < 1_200; step++) {
        simulation.step(false);
      }
      long used = simulation.granted - before;
      assertTrue(used >= 0.95 * 100 * 60, "used " + used + " of 6000");
    }

    /** Guards against shares that stay in a failure domain without demand. */
    @Test
    void sharesMoveToTheFailureDomainWithDemand() {
      Simulation simulation = new Simulation(98);
      simulation.demand.putAll(Map.of("a", 1_000, "b", 0, "c", 0));
      for (int step = 0; step < 2_400; step++) {
        simulation.step(false);
      }
      long before = simulation.granted;
      for (int step = 0; step < 600; step++) {
        simulation.step(false);
      }
      long used = simulation.granted - before;
      // The isolated shares of the other two are 40 of 100, and each keeps a thirtieth of the
      // 40 that are not isolated.
      assertTrue(used >= 0.9 * 57 * 30, "used " + used + " of 1710");
    }
  }

  /** Three failure domains with three instances each. */
  private static final class Simulation {
    final Random random;
    final SimulatedStore store = new SimulatedStore();
    final Map<String, SimulatedInstance> instances = new TreeMap<>();
    final Map<String, Long> highestVersion = new TreeMap<>();
    final Deque<long[]> accepted = new ArrayDeque<>();
    final VoteRule rule = new VoteRule(DOMAINS);
    final LeaseTable observer = LeaseTable.ofMillis(SimulatedInstance.LEASE_MILLIS);
    final int seed;
    final Map<String, ShareUse> lastUses = new TreeMap<>();
    final Map<String, Integer> demand = new TreeMap<>();
    MemberLimits announced;
    LimitValues beforeAnnounced;
    long announcedAt;
    long millis;
    long granted;
    long votes;
    int starts;
    double bucketLevel;

    Simulation(int seed) {
      this.seed = seed;
      this.random = new Random(seed);
      LimitValues first = LimitValues.unlimited().with(LimitKind.REQUESTS_PER_SECOND, 100);
      store.create(Kinds.LIMITS, MEMBER, MemberLimits.spec(first, List.of()));
      accepted.add(new long[] {0, 100});
      for (String domain : DOMAINS) {
        for (int i = 0; i < 3; i++) {
          start(domain, domain + i);
        }
      }
    }

    void start(String domain, String name) {
      instances.put(
          name,
          new SimulatedInstance(
              name + "#" + starts++, domain, DOMAINS, store, new Random(random.nextLong())));
    }

    void step(boolean faults) {
      millis += STEP_MILLIS;
      if (faults) {
        injectFault();
        vote();
        changeDemand();
      }
      instances.values().forEach(instance -> instance.step(millis));
      requestUnits();
      checkVersions();
    }

    private void injectFault() {
      int roll = random.nextInt(800 * (1 + seed % 4));
      List<SimulatedInstance> all = List.copyOf(instances.values());
      SimulatedInstance chosen = all.get(random.nextInt(all.size()));
      if (roll < 6) {
        boolean cut = random.nextBoolean();
        String domain = DOMAINS.get(random.nextInt(3));
        all.stream().filter(i -> i.domain.equals(domain)).forEach(i -> i.cutOff = cut);
      } else if (roll < 16) {
        chosen.cutOff = !chosen.cutOff;
      } else if (roll < 24) {
        chosen.pausedUntilMillis = millis + random.nextInt(15_000);
      } else if (roll < 30) {
        instances.remove(chosen.name);
        start(chosen.domain, chosen.name);
      } else if (roll < 34) {
        long until = millis + random.nextInt(60_000);
        all.stream()
            .filter(i -> i.domain.equals(chosen.domain))
            .forEach(i -> i.watchBrokenUntilMillis = until);
      } else if (roll < 37) {
        all.forEach(instance -> instance.cutOff = false);
      }
    }

    private Map<String, DomainRecord> readRecords() {
      List<StoredObject> all =
          ((StoreResult.Done<ObjectList>) store.list(Kinds.LEASES, "")).value().objects();
      Map<String, Long> counters = new TreeMap<>();
      all.forEach(
          o ->
              o.spec()
                  .path("holders")
                  .fields()
                  .forEachRemaining(f -> counters.put(f.getKey(), f.getValue().asLong())));
      long now = millis * 1_000_000;
      observer.observeAll(counters, now, now);
      return new DomainRecords().update(all, holder -> observer.isExpired(holder, now));
    }

    /** Votes like {@link VoteService}, but in steps of virtual time. */
    private void vote() {
      Map<String, DomainRecord> domainRecords = readRecords();
      StoredObject stored =
          ((StoreResult.Done<StoredObject>) store.get(Kinds.LIMITS, MEMBER)).value();
      if (announced != null) {
        boolean enforceable =
            rule.domainsThatMayExceed(announced, ledger(), domainRecords).isEmpty();
        if (enforceable || millis - announcedAt > 9_000) {
          List<OlderLimits> older = new ArrayList<>(announced.older());
          older.add(new OlderLimits(announced.version(), announced.current()));
          store.update(
              Kinds.LIMITS,
              MEMBER,
              stored.version(),
              MemberLimits.spec(enforceable ? announced.current() : beforeAnnounced, older));
          if (enforceable) {
            accept(announced.current());
          }
          announced = null;
        }
      } else if (random.nextInt(600) == 0) {
        MemberLimits before = MemberLimits.fromObject(stored);
        List<OlderLimits> older = VoteRule.possiblyApplied(before, domainRecords);
        if (older.size() > VoteRule.MAX_OLDER) {
          return;
        }
        LimitValues current = before.current();
        LimitValues wanted =
            random.nextInt(3) == 0
                ? current.withIsolatedPpm(300_000 + random.nextInt(500_000))
                : current.with(LimitKind.REQUESTS_PER_SECOND, 10 + random.nextInt(200));
        boolean enforceable = VoteRule.isRaise(current, wanted);
        store.update(Kinds.LIMITS, MEMBER, stored.version(), MemberLimits.spec(wanted, older));
        if (enforceable) {
          accept(wanted);
        } else {
          beforeAnnounced = before.current();
          announcedAt = millis;
          announced =
              MemberLimits.fromObject(
                  ((StoreResult.Done<StoredObject>) store.get(Kinds.LIMITS, MEMBER)).value());
        }
      }
    }

    private void accept(LimitValues values) {
      accepted.add(new long[] {millis, values.value(LimitKind.REQUESTS_PER_SECOND).getAsLong()});
      votes++;
    }

    private MemberShares ledger() {
      String shard = ShareLedger.shardOf(MEMBER);
      return store.get(Kinds.SHARES, shard) instanceof StoreResult.Done<StoredObject> done
          ? ShareLedger.fromSpec(done.value().version(), done.value().spec()).of(MEMBER, DOMAINS)
          : MemberShares.equalSplit(DOMAINS);
    }

    /** Changes at random intervals which failure domains have requests. */
    private void changeDemand() {
      if (random.nextInt(400) == 0) {
        int[] choices = {0, 1, 3, 1_000};
        demand.put(DOMAINS.get(random.nextInt(3)), choices[random.nextInt(4)]);
      }
    }

    private void requestUnits() {
      while (accepted.size() > 1 && secondAcceptedAt() < millis - IN_FORCE_MILLIS) {
        accepted.removeFirst();
      }
      long bound = accepted.stream().mapToLong(entry -> entry[1]).max().getAsLong();
      bucketLevel = Math.max(0, bucketLevel - bound * STEP_MILLIS / 1000.0);
      for (SimulatedInstance instance : instances.values()) {
        int requestsPerStep = demand.getOrDefault(instance.domain, 1_000);
        long units = requestsPerStep == 0 ? 0 : instance.requestGrant(MEMBER, 1, millis);
        for (int used = 1; units > 0; used++) {
          granted += units;
          bucketLevel += units;
          checkSingleOwner(instance);
          units = used < requestsPerStep ? instance.requestGrant(MEMBER, 1, millis) : 0;
        }
      }
      // Each failure domain may accumulate the units of one second and one whole unit; the
      // last term allows for rounding in the sum of doubles.
      double burst = bound + DOMAINS.size() + 1e-6;
      assertTrue(
          bucketLevel <= burst,
          () -> "seed " + seed + " at " + millis + " ms: " + bucketLevel + " above " + burst);
    }

    /** Checks that the sub-grants of an earlier owner have expired when another one grants. */
    private void checkSingleOwner(SimulatedInstance instance) {
      GrantScope scope = instance.grantScope(MEMBER, millis);
      for (String share : List.of("SHARE", "ISOLATED")) {
        if (scope.name().contains(share)) {
          ShareUse last = lastUses.put(instance.domain + share, new ShareUse(instance, millis));
          assertTrue(
              last == null || last.instance() == instance || millis - last.millis() >= 1_000,
              () -> "seed " + seed + " at " + millis + " ms: two owners use the " + share);
        }
      }
    }

    private long secondAcceptedAt() {
      var times = accepted.iterator();
      times.next();
      return times.next()[0];
    }

    private void checkVersions() {
      for (SimulatedInstance instance : instances.values()) {
        long applied = instance.appliedLimit(MEMBER);
        String key = instance + instance.name;
        long before = highestVersion.getOrDefault(key, 0L);
        assertEquals(Math.max(before, applied), applied, "version decreased on " + key);
        highestVersion.put(key, applied);
      }
    }
  }

  private record ShareUse(SimulatedInstance instance, long millis) {}
}
