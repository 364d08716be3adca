package org.sedgeroad.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.FakeStore.Fault;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;

/** Guards against items that are lost, end twice, or are sent when they must not be. */
class JobRunnerTest {
  private SimulatedRunners runners = new SimulatedRunners(1);

  @Nested
  class Step {
    @Test
    void completesAJobWithAnItemThatAlwaysFails() throws Exception {
      runners.createJob("wxw", "wn");
      runners.add("entry-1");
      runners.runToEnd();
      runners.assertEachItemEndedOnce();
      assertEquals(new ItemCounts(4, 1, 0, 0), runners.job().counts());
      assertEquals(RunnerDecisions.MAX_ATTEMPTS, runners.sendCount("poison1"));
      runners.runFor(100);
      assertEquals(0, runners.instances.get(0).runner.unfinishedJobs());
    }

    @Test
    void takesOverAfterALossWithinTenSecondsAndNeverResendsAStartedItem() throws Exception {
      runners.createJob("wwwwwwwwwwnn");
      SimulatedInstance first = runners.add("entry-1");
      runners.runUntil(() -> runners.sendCount("item10") > 0);
      first.alive = false;
      SimulatedInstance second = runners.add("entry-1");
      long lostAt = runners.clock.nanos();
      runners.runUntil(
          () ->
              second
                  .runner
                  .findHeldSegment(new SegmentKey(SimulatedRunners.JOB_ID, 0))
                  .isPresent());
      long takeoverMillis = (runners.clock.nanos() - lostAt) / 1_000_000;
      assertTrue(
          takeoverMillis >= SimulatedInstance.LEASE_MILLIS && takeoverMillis <= 10_000,
          () -> "taken over after " + takeoverMillis + " ms");
      runners.runToEnd();
      runners.assertEachItemEndedOnce();
      assertTrue(runners.job().counts().unknown() > 0);
    }

    @Test
    void takesOverSegmentsWhileItHasOtherWork() throws Exception {
      runners.createJob("w".repeat(900), "w".repeat(900));
      SimulatedInstance first = runners.add("entry-1");
      runners.runFor(100);
      SimulatedInstance second = runners.add("entry-2");
      runners.runFor(200);
      first.alive = false;
      runners.runFor(9_000);
      assertTrue(
          second.runner.findHeldSegment(new SegmentKey(SimulatedRunners.JOB_ID, 0)).isPresent());
      assertTrue(
          second.runner.findHeldSegment(new SegmentKey(SimulatedRunners.JOB_ID, 1)).isPresent());
      runners.runToEnd();
      runners.assertEachItemEndedOnce();
    }

    @Test
    void resumesAfterAStoreOutageWithoutLosingAnItem() throws Exception {
      runners.createJob("wwwwwwww", "wwwwwwww");
      runners.add("entry-1");
      runners.runFor(100);
      runners.store.faults = (operation, kind) -> Fault.OUTAGE;
      runners.runFor(20_000);
      assertTrue(runners.instances.get(0).engine.openCallCount() == 0, "sent without a lease");
      runners.store.faults = (operation, kind) -> Fault.NONE;
      runners.runToEnd();
      runners.assertEachItemEndedOnce();
      assertEquals(16, runners.job().counts().done());
    }

    @ParameterizedTest
    @ValueSource(strings = {Kinds.SEGMENTS, Kinds.RESULTS, Kinds.JOBS})
    void completesAJobWhenEverySecondWriteOfAKindLosesItsAnswer(String kind) throws Exception {
      runners.createJob("wwn", "ww");
      runners.add("entry-1");
      int[] calls = {0};
      runners.store.faults =
          (operation, called) ->
              called.equals(kind) && !operation.equals("get") && calls[0]++ % 2 == 0
                  ? Fault.LOST_ANSWER
                  : Fault.NONE;
      runners.runToEnd();
      runners.assertEachItemEndedOnce();
      assertEquals(5, runners.job().counts().done());
    }

    @Test
    void readsBackACommitWhoseOutcomeIsUnknown() throws Exception {
      runners.createJob("ww");
      runners.add("entry-1");
      // The update takes effect, but its answer is lost and all later store calls fail.
      boolean[] storeDown = {false};
      runners.store.faults =
          (operation, kind) -> {
            boolean isSegmentUpdate = kind.equals(Kinds.SEGMENTS) && operation.equals("update");
            Fault fault =
                storeDown[0] ? Fault.OUTAGE : isSegmentUpdate ? Fault.LOST_ANSWER : Fault.NONE;
            storeDown[0] |= isSegmentUpdate;
            return fault;
          };
      runners.runUntil(() -> storeDown[0]);
      runners.store.faults = (operation, kind) -> Fault.NONE;
      runners.runToEnd();
      runners.assertEachItemEndedOnce();
      assertEquals(1, runners.store.objects(Kinds.RESULTS).size(), "committed twice");
    }

    @Test
    void continuesAfterAStoreCallThrows() throws Exception {
      runners.createJob("ww");
      runners.add("entry-1");
      runners.store.faults =
          (operation, kind) -> {
            if (kind.equals(Kinds.SEGMENTS) && runners.random.nextInt(3) == 0) {
              throw new IllegalStateException("store client failed");
            }
            return Fault.NONE;
          };
      runners.runToEnd();
      runners.assertEachItemEndedOnce();
    }
  }

  /** Endpoints that crash under an item, after which a sound item is completed. */
  @Nested
  class CrashedEndpoints {
    /** Crashes the endpoint whenever it runs an item, at most the given number of times. */
    private void crashUnderItem(SimulatedInstance instance, String prompt, int times) {
      instance.engine.hold(prompt);
      for (int crash = 0; crash < times && !runners.job().isCounted(); crash++) {
        runners.runUntil(() -> instance.engine.isOpen(prompt) || runners.job().isCounted());
        crash(instance);
      }
    }

    private void crash(SimulatedInstance instance) {
      instance.endpointCrashed = true;
      instance.engine.breakAllCalls();
      runners.runFor(100);
      instance.endpointCrashed = false;
    }

    private void assertSoundItemsEndWithin(long millis) throws Exception {
      runners.instances.forEach(each -> each.engine.releaseAll());
      long calmSince = runners.clock.nanos();
      runners.runToEnd();
      runners.assertEachItemEndedOnce();
      assertEquals(runners.job().itemCount(), runners.job().counts().done());
      long took = (runners.clock.nanos() - calmSince) / 1_000_000;
      assertTrue(took <= millis, () -> "completed " + took + " ms after the last crash");
    }

    /** The item was given up after its second crash, and others after their twentieth. */
    @Test
    void doNotEndAnItemThatMetABurst() throws Exception {
      runners.createJob("w");
      SimulatedInstance instance = runners.add("entry-1");
      crashUnderItem(instance, "item0", 4);
      assertSoundItemsEndWithin(15_000);
    }

    @Test
    void doNotEndAnItemWhileOthersAreCrashingToo() throws Exception {
      runners.createJob("wwwwww");
      SimulatedInstance instance = runners.add("entry-1");
      instance.engine.hold("item0");
      for (int strike = 0; strike < 25; strike++) {
        runners.runUntil(() -> instance.engine.isOpen("item0"));
        instance.detector.recordLoss(
            "other", "http://127.0.0.1:2", List.of("of another instance"), runners.clock.nanos());
        crash(instance);
      }
      assertSoundItemsEndWithin(15_000);
    }

    /** An endpoint that is back before it is probed does not count as crashed. */
    @Test
    void doNotEndAnItemIfTheyAreBackAtOnce() throws Exception {
      runners.createJob("w");
      SimulatedInstance instance = runners.add("entry-1");
      instance.engine.hold("item0");
      for (int strike = 0; strike < 4; strike++) {
        runners.runUntil(() -> instance.engine.isOpen("item0"));
        instance.engine.breakAllCalls();
        runners.runFor(100);
      }
      assertSoundItemsEndWithin(15_000);
    }

    @Test
    void endAnItemThatCrashesThemWhileOthersAreCompleted() throws Exception {
      runners.createJob("w".repeat(200));
      SimulatedInstance instance = runners.add("entry-1");
      crashUnderItem(instance, "item3", 3);
      runners.runToEnd();
      runners.assertEachItemEndedOnce();
      assertEquals(new ItemCounts(199, 1, 0, 0), runners.job().counts());
      assertEquals(3, runners.sendCount("item3"));
    }

    @Test
    void endAnItemThatCrashesThemWithoutOtherWork() throws Exception {
      runners.createJob("w");
      crashUnderItem(runners.add("entry-1"), "item0", 100);
      assertEquals(new ItemCounts(0, 1, 0, 0), runners.job().counts());
      assertEquals(5, runners.sendCount("item0"));
    }

    /** The holder sent its items to the lost endpoint again and again, and kept the segment. */
    @Test
    void releaseASegmentThatTheirOwnerCanNotProcess() throws Exception {
      runners.createJob("w".repeat(40));
      SimulatedInstance first = runners.add("entry-1");
      runners.runUntil(() -> first.engine.openCallCount() > 0);
      runners.add("entry-2");
      runners.runFor(200);
      first.engine.setRefusing(true);
      crash(first);
      first.endpointCrashed = true;
      assertSoundItemsEndWithin(60_000);
    }
  }

  @Nested
  class DroppedModels {
    private SimulatedInstance startJob(int items) {
      runners.createJob("w".repeat(items));
      SimulatedInstance instance = runners.add("entry-1");
      runners.runUntil(() -> instance.engine.openCallCount() > 0);
      return instance;
    }

    private void dropModel() {
      StoreResult<StoredObject> found = runners.store.get(Kinds.MODELS, "lenga-7b");
      long version = ((StoreResult.Done<StoredObject>) found).value().version();
      runners.store.delete(Kinds.MODELS, "lenga-7b", version);
    }

    private void createModel() {
      runners.store.create(
          Kinds.MODELS,
          "lenga-7b",
          JsonNodeFactory.instance.objectNode().put("service", "tallador-lm"));
    }

    /** The items waited without end, and so did their job. */
    @Test
    void endTheirWaitingItems() throws Exception {
      startJob(40);
      dropModel();
      runners.runToEnd();
      runners.assertEachItemEndedOnce();
      assertTrue(runners.job().counts().failed() > 0);
      assertEquals(40, runners.job().counts().done() + runners.job().counts().failed());
    }

    @Test
    void endTheItemsOfAHolderThatWasLost() throws Exception {
      SimulatedInstance first = startJob(40);
      runners.add("entry-2");
      dropModel();
      runners.runFor(30_000);
      first.alive = false;
      runners.runToEnd();
      runners.assertEachItemEndedOnce();
    }

    @Test
    void keepTheirItemsIfTheyAreCreatedAgain() throws Exception {
      startJob(40);
      dropModel();
      runners.runFor(50_000);
      createModel();
      runners.runToEnd();
      assertEquals(40, runners.job().counts().done());
    }

    /** The holder has not received the model; giving up would fail items that can run. */
    @Test
    void areConfirmedByTheStore() throws Exception {
      SimulatedInstance instance = startJob(40);
      dropModel();
      runners.runFor(100);
      instance.missesModelChanges = true;
      createModel();
      runners.runToEnd();
      assertEquals(40, runners.job().counts().done());
    }

    @Test
    void areNotConfirmedWhileTheStoreIsAway() throws Exception {
      startJob(40);
      dropModel();
      runners.runFor(1_000);
      runners.store.faults =
          (operation, kind) -> kind.equals(Kinds.MODELS) ? Fault.OUTAGE : Fault.NONE;
      runners.runFor(90_000);
      assertEquals(0, runners.job().counts().failed());
      runners.store.faults = (operation, kind) -> Fault.NONE;
      createModel();
      runners.runToEnd();
      assertEquals(40, runners.job().counts().done());
    }
  }

  @Nested
  class Cancel {
    @Test
    void endsCallsAndCountsSegmentsThatWereNeverClaimed() throws Exception {
      runners.createJob("wwwwwwwwww", "wwwnn", "ww");
      runners.add("entry-1");
      runners.runFor(60);
      assertInstanceOf(
          CancelResult.Cancelled.class, runners.service.cancel(SimulatedRunners.JOB_ID));
      runners.runFor(100);
      assertEquals(0, runners.instances.get(0).engine.openCallCount());
      runners.runToEnd();
      runners.assertEachItemEndedOnce();
      assertEquals(JobState.CANCELLED, runners.job().state());
    }

    @Test
    void endsTheSegmentsOfALostHolder() throws Exception {
      runners.createJob("wwwwwwwwwwwwwwwwwwwwwww");
      SimulatedInstance first = runners.add("entry-1");
      runners.runFor(60);
      first.alive = false;
      runners.service.cancel(SimulatedRunners.JOB_ID);
      runners.add("entry-2");
      runners.runToEnd();
      runners.assertEachItemEndedOnce();
    }
  }

  @Nested
  class Stop {
    @Test
    void releasesSegmentsSoThatAnotherInstanceClaimsThemAtOnce() throws Exception {
      runners.createJob("wwwwwwwwwwwwwwwwnnnn");
      SimulatedInstance first = runners.add("entry-1");
      runners.runFor(60);
      first.runner.beginStop(runners.clock.deadlineAfterMillis(30_000));
      runners.runUntil(() -> first.runner.isStopped());
      assertTrue(
          first.runner.findHeldSegment(new SegmentKey(SimulatedRunners.JOB_ID, 0)).isEmpty());
      SimulatedInstance second = runners.add("entry-2");
      long releasedAt = runners.clock.nanos();
      runners.runUntil(() -> second.engine.openCallCount() > 0);
      assertTrue(
          runners.clock.nanos() - releasedAt <= 300_000_000L, "waited for the lease to expire");
      runners.runToEnd();
      runners.assertEachItemEndedOnce();
      assertEquals(20, runners.job().counts().done());
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
        runners = new SimulatedRunners(seed);
        runners.createJob("wwwnwwxw", "nnnn", "wwwwwwwwww", "wnw", "w");
        runners.add("entry-1");
        runners.add("entry-2");
        runners.add("entry-3");
        runners.runWithRandomFaults(cancel ? 200 + runners.random.nextInt(1_500) : 3_000);
        CancelResult result = cancel ? runners.service.cancel(SimulatedRunners.JOB_ID) : null;
        if (cancel) {
          runners.runWithRandomFaults(500);
        }
        runners.instances.forEach(each -> each.pausedUntilNanos = runners.clock.nanos());
        runners.runToEnd();
        runners.assertEachItemEndedOnce();
        boolean isCancelled = result instanceof CancelResult.Cancelled;
        assertEquals(isCancelled ? JobState.CANCELLED : JobState.COMPLETED, runners.job().state());
      } catch (Exception | AssertionError failure) {
        throw new AssertionError("seed " + seed + ", cancel " + cancel, failure);
      }
    }
  }
}
