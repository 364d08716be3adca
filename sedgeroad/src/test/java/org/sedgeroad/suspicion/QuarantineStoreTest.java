package org.sedgeroad.suspicion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.EnumSource.Mode;
import org.junit.jupiter.params.provider.ValueSource;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.exchange.ChangeExchange;
import org.sedgeroad.placement.VirtualTime;
import org.sedgeroad.store.FakeStore;
import org.sedgeroad.store.FakeStore.Fault;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;

/** Guards against quarantines that are forgotten, kept for good, or tried too often. */
class QuarantineStoreTest {
  private static final CrashSeries SERIES = new CrashSeries(1, List.of("a", "b", "c"), false);

  private final VirtualTime time = new VirtualTime();
  private final FakeStore objects = new FakeStore();
  private final Deque<Runnable> calls = new ArrayDeque<>();
  private final Map<String, CrashSeries> received = new HashMap<>();
  private long wallMillis = 1_000_000;
  private final QuarantineStore first = create("first");
  private final QuarantineStore second = create("second");

  private QuarantineStore create(String name) {
    return new QuarantineStore(
        StoreWriter.of(objects, name, () -> {}),
        calls::add,
        time,
        time,
        () -> wallMillis,
        EventLog.of(name),
        received::putAll);
  }

  private void runCalls() {
    while (!calls.isEmpty()) {
      calls.remove().run();
      time.runUntil(time.nanos() / 1e6 + 1);
    }
  }

  private void list(QuarantineStore store) {
    store.listed(
        ((StoreResult.Done<ObjectList>) objects.list(QuarantineStore.KIND, "")).value().objects());
  }

  private List<Boolean> requestTrials(String... keys) {
    List<Boolean> allowed = new ArrayList<>();
    first.requestTrial(List.of(keys), allowed::add);
    second.requestTrial(List.of(keys), allowed::add);
    runCalls();
    return allowed;
  }

  @Nested
  class Trial {
    @Test
    void isOneInTheFleetWhenItIsDue() {
      first.add("part-x", SERIES);
      runCalls();
      list(second);
      assertEquals(List.of(false, false), requestTrials("part-x"));
      wallMillis += QuarantineStore.FIRST_TRIAL_MILLIS;
      List<Boolean> allowed = requestTrials("part-x");
      assertEquals(1, allowed.stream().filter(one -> one).count());
      wallMillis += QuarantineStore.FIRST_TRIAL_MILLIS;
      assertEquals(List.of(false, false), requestTrials("part-x"));
    }

    /** A request with several quarantined keys cost an endpoint for each of them. */
    @Test
    void countsForAllKeysOfTheRequest() {
      first.add("part-x", SERIES);
      runCalls();
      first.add("part-y", SERIES);
      runCalls();
      list(second);
      wallMillis += QuarantineStore.FIRST_TRIAL_MILLIS;
      assertEquals(1, requestTrials("part-y", "part-x").stream().filter(one -> one).count());
      list(first);
      list(second);
      assertEquals(List.of(false, false), requestTrials("part-y"));
      assertEquals(List.of(false, false), requestTrials("part-x"));
      assertTrue(second.millisUntilTrial(List.of("part-y")) > QuarantineStore.FIRST_TRIAL_MILLIS);
    }
  }

  @Nested
  class Quarantine {
    @Test
    void isReadByAnInstanceThatStarts() {
      first.add("part-x", SERIES);
      runCalls();
      list(second);
      assertEquals(Map.of("part-x", SERIES), received);
    }

    /** The clock of one instance may be ahead of the others. */
    @Test
    void isKeptByAnInstanceWhoseClockIsAhead() {
      first.add("part-x", SERIES);
      runCalls();
      wallMillis += 7_200_000;
      list(second);
      runCalls();
      list(first);
      assertTrue(first.millisUntilTrial(List.of("part-x")) < QuarantineStore.FIRST_TRIAL_MILLIS);
    }

    @Test
    void endsAtAnInstanceThatMissedItsDeletion() {
      first.add("part-x", SERIES);
      runCalls();
      list(second);
      first.remove("part-x", SERIES.afterAnswer());
      runCalls();
      list(second);
      assertTrue(received.get("part-x").answered());
    }

    /** The first part of a prompt may be answered while its quarantine is being stored. */
    @Test
    void isNotLeftInTheStoreIfItEndsWhileItIsStored() {
      first.add("part-x", SERIES);
      first.remove("part-x", SERIES.afterAnswer());
      runCalls();
      list(second);
      assertFalse(received.containsKey("part-x") && !received.get("part-x").answered());
    }
  }

  @Nested
  class StoreThatIsAway {
    private static final List<String> KEYS = List.of("part-x");

    private final SuspicionTable table = new SuspicionTable(time);
    private final SuspicionGuard guard =
        new SuspicionGuard(
            table,
            new ChangeExchange<>(table, series -> {}, 16, () -> false, time, time),
            first,
            time,
            EventLog.of("first"));

    @BeforeEach
    void quarantine() {
      SERIES.crashes().forEach(endpoint -> guard.recordCrash(endpoint, guard.series(KEYS)));
      time.runUntil(SuspicionTable.REPORT_WAIT_MILLIS);
    }

    private boolean requestTrial() {
      List<Boolean> allowed = new ArrayList<>();
      guard.requestTrial(KEYS, allowed::add);
      runCalls();
      assertEquals(1, allowed.size());
      return allowed.get(0);
    }

    @ParameterizedTest
    @EnumSource(
        value = Fault.class,
        names = {"NONE", "CONFLICT"},
        mode = Mode.EXCLUDE)
    void receivesTheQuarantineWithALaterRequest(Fault fault) {
      objects.faults = (operation, kind) -> fault;
      for (int request = 0; request < 3; request++) {
        assertFalse(requestTrial());
        assertEquals(Suspicion.Verdict.QUARANTINED, guard.suspicion(KEYS).verdict());
      }
      objects.faults = (operation, kind) -> Fault.NONE;
      assertFalse(requestTrial());
      assertEquals(1, objects.objects(QuarantineStore.KIND).size());
      list(second);
      assertEquals(SERIES, received.get("part-x"));
      wallMillis += QuarantineStore.FIRST_TRIAL_MILLIS;
      assertTrue(requestTrial());
    }

    @Test
    void endsNoQuarantine() {
      requestTrial();
      objects.faults = (operation, kind) -> Fault.OUTAGE;
      wallMillis += QuarantineStore.FIRST_TRIAL_MILLIS;
      assertFalse(requestTrial());
      assertEquals(Suspicion.Verdict.QUARANTINED, guard.suspicion(KEYS).verdict());
      objects.faults = (operation, kind) -> Fault.NONE;
      assertTrue(requestTrial());
    }
  }

  @Nested
  class ClaimWhoseAnswerIsLost {
    @BeforeEach
    void store() {
      first.add("part-x", SERIES);
      runCalls();
      list(second);
      wallMillis += QuarantineStore.FIRST_TRIAL_MILLIS;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void allowsOneTrialInTheFleet(int lostAnswers) {
      objects.failNext("update", QuarantineStore.KIND, Fault.LOST_ANSWER, lostAnswers);
      assertEquals(1, requestTrials("part-x").stream().filter(one -> one).count());
      assertEquals(List.of(false, false), requestTrials("part-x"));
    }

    /** Whether the claim took effect isn't known before the store answers again. */
    @Test
    void allowsNoSecondTrialOnceTheStoreIsBack() {
      objects.faults =
          (operation, kind) -> operation.equals("get") ? Fault.OUTAGE : Fault.LOST_ANSWER;
      assertEquals(List.of(false, false), requestTrials("part-x"));
      objects.faults = (operation, kind) -> Fault.NONE;
      assertEquals(List.of(false, false), requestTrials("part-x"));
      assertTrue(first.millisUntilTrial(List.of("part-x")) > QuarantineStore.FIRST_TRIAL_MILLIS);
    }
  }

  @Nested
  class Deletion {
    private static final double MINUTE_MILLIS = 60_000;

    private final CrashSeries later = new CrashSeries(2, List.of("d", "e", "f"), false);

    @BeforeEach
    void store() {
      first.add("part-x", SERIES);
      runCalls();
      list(second);
    }

    private void runAMinute() {
      double end = time.nanos() / 1e6 + MINUTE_MILLIS;
      for (double millis = time.nanos() / 1e6; millis < end; millis += 100) {
        time.runUntil(millis);
        runCalls();
      }
    }

    @ParameterizedTest
    @EnumSource(
        value = Fault.class,
        names = {"NONE", "CONFLICT"},
        mode = Mode.EXCLUDE)
    void isRepeatedUntilTheStoreAnswers(Fault fault) {
      objects.failNext("delete", QuarantineStore.KIND, fault, 3);
      first.remove("part-x", SERIES.afterAnswer());
      runAMinute();
      assertEquals(List.of(), objects.objects(QuarantineStore.KIND));
    }

    @Test
    void isNotRepeatedWithoutEnd() {
      int[] deletions = {0};
      objects.faults =
          (operation, kind) -> {
            deletions[0] += operation.equals("delete") ? 1 : 0;
            return Fault.NONE;
          };
      first.remove("part-x", SERIES.afterAnswer());
      runAMinute();
      assertEquals(1, deletions[0]);
    }

    /** A deletion may not have been delivered when the part is quarantined again. */
    @Test
    void sparesALaterQuarantine() {
      objects.failNext("delete", QuarantineStore.KIND, Fault.LOST_ANSWER, 1);
      first.remove("part-x", SERIES.afterAnswer());
      runCalls();
      list(second);
      second.add("part-x", later);
      runCalls();
      list(first);
      runAMinute();
      assertEquals(1, objects.objects(QuarantineStore.KIND).size());
      assertEquals(later, received.get("part-x"));
    }
  }
}
