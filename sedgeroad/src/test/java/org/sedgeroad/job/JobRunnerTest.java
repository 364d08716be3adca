package org.sedgeroad.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.FakeStore.Fault;

/** Guards against items that are lost, end twice, or are sent when they must not be. */
class JobRunnerTest {
  private SimulatedFleet fleet = new SimulatedFleet(1);

  @Nested
  class Step {
    @Test
    void completesAJobWithAnItemThatAlwaysFails() throws Exception {
      fleet.createJob("wxw", "wn");
      fleet.add("entry-1");
      fleet.runToEnd();
      fleet.assertEachItemEndedOnce();
      assertEquals(new ItemCounts(4, 1, 0, 0), fleet.job().counts());
      assertEquals(RunnerDecisions.MAX_ATTEMPTS, fleet.sendCount("poison1"));
      fleet.runFor(100);
      assertEquals(0, fleet.instances.get(0).runner.unfinishedJobs());
    }

    @Test
    void takesOverAfterALossWithinTenSecondsAndNeverResendsAStartedItem() throws Exception {
      fleet.createJob("wwwwwwwwwwnn");
      SimulatedInstance first = fleet.add("entry-1");
      fleet.runUntil(() -> fleet.sendCount("item10") > 0);
      first.alive = false;
      SimulatedInstance second = fleet.add("entry-1");
      long lostAt = fleet.clock.nanos();
      fleet.runUntil(
          () -> second.runner.findHeldSegment(new SegmentKey(SimulatedFleet.JOB, 0)).isPresent());
      long takenMillis = (fleet.clock.nanos() - lostAt) / 1_000_000;
      assertTrue(
          takenMillis >= SimulatedInstance.LEASE_MILLIS && takenMillis <= 10_000,
          () -> "taken over after " + takenMillis + " ms");
      fleet.runToEnd();
      fleet.assertEachItemEndedOnce();
      assertTrue(fleet.job().counts().unknown() > 0);
    }

    @Test
    void takesOverSegmentsWhileItHasOtherWork() throws Exception {
      fleet.createJob("w".repeat(900), "w".repeat(900));
      SimulatedInstance first = fleet.add("entry-1");
      fleet.runFor(100);
      SimulatedInstance second = fleet.add("entry-2");
      fleet.runFor(200);
      first.alive = false;
      fleet.runFor(9_000);
      assertTrue(second.runner.findHeldSegment(new SegmentKey(SimulatedFleet.JOB, 0)).isPresent());
      assertTrue(second.runner.findHeldSegment(new SegmentKey(SimulatedFleet.JOB, 1)).isPresent());
      fleet.runToEnd();
      fleet.assertEachItemEndedOnce();
    }

    @Test
    void resumesAfterAStoreOutageWithoutLosingAnItem() throws Exception {
      fleet.createJob("wwwwwwww", "wwwwwwww");
      fleet.add("entry-1");
      fleet.runFor(100);
      fleet.store.faults = (operation, kind) -> Fault.OUTAGE;
      fleet.runFor(20_000);
      assertTrue(fleet.instances.get(0).engine.openCalls() == 0, "sent without a lease");
      fleet.store.faults = (operation, kind) -> Fault.NONE;
      fleet.runToEnd();
      fleet.assertEachItemEndedOnce();
      assertEquals(16, fleet.job().counts().done());
    }

    @ParameterizedTest
    @ValueSource(strings = {Kinds.SEGMENTS, Kinds.RESULTS, Kinds.JOBS})
    void survivesLostAnswersToEveryWriteOfAKind(String kind) throws Exception {
      fleet.createJob("wwn", "ww");
      fleet.add("entry-1");
      int[] calls = {0};
      fleet.store.faults =
          (operation, called) ->
              called.equals(kind) && !operation.equals("get") && calls[0]++ % 2 == 0
                  ? Fault.LOST_ANSWER
                  : Fault.NONE;
      fleet.runToEnd();
      fleet.assertEachItemEndedOnce();
      assertEquals(5, fleet.job().counts().done());
    }

    @Test
    void readsBackACommitWhoseOutcomeIsUnknown() throws Exception {
      fleet.createJob("ww");
      fleet.add("entry-1");
      // The update takes effect, but its answer is lost and all later store calls fail.
      boolean[] cut = {false};
      fleet.store.faults =
          (operation, kind) -> {
            boolean hit = kind.equals(Kinds.SEGMENTS) && operation.equals("update");
            Fault fault = cut[0] ? Fault.OUTAGE : hit ? Fault.LOST_ANSWER : Fault.NONE;
            cut[0] |= hit;
            return fault;
          };
      fleet.runUntil(() -> cut[0]);
      fleet.store.faults = (operation, kind) -> Fault.NONE;
      fleet.runToEnd();
      fleet.assertEachItemEndedOnce();
      assertEquals(1, fleet.store.objects(Kinds.RESULTS).size(), "committed twice");
    }

    @Test
    void continuesAfterAStoreCallThrows() throws Exception {
      fleet.createJob("ww");
      fleet.add("entry-1");
      fleet.store.faults =
          (operation, kind) -> {
            if (kind.equals(Kinds.SEGMENTS) && fleet.random.nextInt(3) == 0) {
              throw new IllegalStateException("store client failed");
            }
            return Fault.NONE;
          };
      fleet.runToEnd();
      fleet.assertEachItemEndedOnce();
    }
  }

  @Nested
  class Cancel {
    @Test
    void stopsStreamsAndCountsSegmentsThatWereNeverClaimed() throws Exception {
      fleet.createJob("wwwwwwwwww", "wwwnn", "ww");
      fleet.add("entry-1");
      fleet.runFor(60);
      assertInstanceOf(CancelResult.Cancelled.class, fleet.service.cancel(SimulatedFleet.JOB));
      fleet.runFor(100);
      assertEquals(0, fleet.instances.get(0).engine.openCalls());
      fleet.runToEnd();
      fleet.assertEachItemEndedOnce();
      assertEquals(JobState.CANCELLED, fleet.job().state());
    }

    @Test
    void endsTheSegmentsOfALostHolder() throws Exception {
      fleet.createJob("wwwwwwwwwwwwwwwwwwwwwww");
      SimulatedInstance first = fleet.add("entry-1");
      fleet.runFor(60);
      first.alive = false;
      fleet.service.cancel(SimulatedFleet.JOB);
      fleet.add("entry-2");
      fleet.runToEnd();
      fleet.assertEachItemEndedOnce();
    }
  }

  @Nested
  class Stop {
    @Test
    void releasesSegmentsSoThatAnotherInstanceClaimsThemAtOnce() throws Exception {
      fleet.createJob("wwwwwwwwwwwwwwwwnnnn");
      SimulatedInstance first = fleet.add("entry-1");
      fleet.runFor(60);
      first.runner.beginStop(fleet.clock.deadlineAfterMillis(30_000));
      fleet.runUntil(() -> first.runner.isStopped());
      assertTrue(first.runner.findHeldSegment(new SegmentKey(SimulatedFleet.JOB, 0)).isEmpty());
      SimulatedInstance second = fleet.add("entry-2");
      long releasedAt = fleet.clock.nanos();
      fleet.runUntil(() -> second.engine.openCalls() > 0);
      assertTrue(
          fleet.clock.nanos() - releasedAt <= 300_000_000L, "waited for the lease to expire");
      fleet.runToEnd();
      fleet.assertEachItemEndedOnce();
      assertEquals(20, fleet.job().counts().done());
    }
  }

  /**
   * Runs three runners with random faults of the store, endpoints and instances. The seed
   * determines the schedule.
   */
  @Nested
  class Schedules {
    @Test
    void endEachItemOnce() throws Exception {
      for (long seed = 1; seed <= 150; seed++) {
        runSchedule(seed, false);
      }
    }

    @Test
    void endEachItemOnceWhenTheJobIsCancelled() throws Exception {
      for (long seed = 1; seed <= 100; seed++) {
        runSchedule(seed, true);
      }
    }

    private void runSchedule(long seed, boolean cancel) throws Exception {
      try {
        fleet = new SimulatedFleet(seed);
        fleet.createJob("wwwnwwxw", "nnnn", "wwwwwwwwww", "wnw", "w");
        fleet.add("entry-1");
        fleet.add("entry-2");
        fleet.add("entry-3");
        fleet.runChaos(cancel ? 200 + fleet.random.nextInt(1_500) : 3_000);
        CancelResult result = cancel ? fleet.service.cancel(SimulatedFleet.JOB) : null;
        if (cancel) {
          fleet.runChaos(500);
        }
        fleet.instances.forEach(each -> each.pausedUntilNanos = fleet.clock.nanos());
        fleet.runToEnd();
        fleet.assertEachItemEndedOnce();
        boolean won = result instanceof CancelResult.Cancelled;
        assertEquals(won ? JobState.CANCELLED : JobState.COMPLETED, fleet.job().state());
      } catch (Exception | AssertionError failure) {
        throw new AssertionError("seed " + seed + ", cancel " + cancel, failure);
      }
    }
  }
}
