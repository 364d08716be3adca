package org.sedgeroad.testing.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.URI;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.testing.engine.AnswerText;
import org.sedgeroad.testing.load.EngineRun;
import org.sedgeroad.testing.load.EngineRuns;
import org.sedgeroad.testing.load.JobOutput;
import org.sedgeroad.testing.load.LiveRecord;
import org.sedgeroad.testing.load.Outcome;
import org.sedgeroad.testing.load.PlannedRequest;

/** Tests each checker with a violation and with a similar case that is allowed. */
class SoakCheckersTest {
  private static final long SECOND = 1_000_000;
  private static final URI ENTRY = URI.create("http://127.0.0.1:1");
  private final SoakJournal journal = new SoakJournal();

  private static EngineRun run(String id, String serviceClass, long accept, long start, long end) {
    return new EngineRun("e", id, serviceClass, "f", accept, start, end, true, 1);
  }

  private static EngineRuns runs(EngineRun... runs) {
    return new EngineRuns(List.of(runs), 100 * SECOND);
  }

  private static LiveRecord record(Outcome outcome, String work, long start, String detail) {
    PlannedRequest request = new PlannedRequest(0, "p", 1, false, 0);
    return new LiveRecord(request, ENTRY, outcome, 200, work, "r", start, 1, 1_000_000, detail);
  }

  private void addJob(String id, int items) {
    journal.jobs.add(new SoakJournal.SubmittedJob(id, "k", "f", items, "l"));
  }

  @Nested
  class ExactlyOnce {
    /** Guards against lost, duplicate and changed results that are not found. */
    @Test
    void findsLostDuplicateAndChangedResults() {
      addJob("good", 1);
      addJob("bad", 3);
      JobOutput good = new JobOutput("completed", Map.of("item-0", 1));
      JobOutput bad = new JobOutput("completed", Map.of("item-0", 1, "item-1", 2));
      Map<String, JobOutput> first = Map.of("good", good, "bad", bad);
      Map<String, JobOutput> second = Map.of("good", good, "bad", good);
      assertEquals(3, SoakCheckers.exactlyOnce(journal, first, second).size());
      assertEquals(2, SoakCheckers.exactlyOnce(journal, first, first).size());
    }

    /** Guards against jobs that don't end or are accepted twice without being found. */
    @Test
    void findsUnfinishedAndRepeatedJobs() {
      addJob("open", 1);
      journal.resubmissions.add(new SoakJournal.Resubmission("open", "other"));
      JobOutput open = new JobOutput("in_progress", Map.of());
      Map<String, JobOutput> outputs = Map.of("open", open);
      assertEquals(2, SoakCheckers.exactlyOnce(journal, outputs, outputs).size());
    }
  }

  @Nested
  class Cancelled {
    /**
     * Guards against work that starts too long after a cancellation and isn't found, and against
     * ignoring the longer time that is allowed if a failure disconnected the holder.
     */
    @Test
    void findsLateWork() {
      journal.cancellations.add(new SoakJournal.Cancellation("job", 10 * SECOND));
      EngineRuns runs =
          runs(
              run("job.0.1-x", "batch", 11 * SECOND, 11 * SECOND, 12 * SECOND),
              run("job.0.2-x", "batch", 13 * SECOND, 13 * SECOND, 14 * SECOND),
              run("job2.0.2-x", "batch", 13 * SECOND, 13 * SECOND, 14 * SECOND));
      assertEquals(1, SoakCheckers.cancelled(journal, runs).size());
      journal.failures.add(new SoakJournal.UnavailableInterval("store", 9 * SECOND, 12 * SECOND));
      assertEquals(0, SoakCheckers.cancelled(journal, runs).size());
    }
  }

  @Nested
  class LiveFirst {
    /** Guards against a live run that queues behind a batch item without being found. */
    @Test
    void findsWaitsAbove100Milliseconds() {
      EngineRun batch = run("b", "batch", 0, 0, SECOND);
      assertEquals(
          1, SoakCheckers.liveFirst(runs(batch, run("l", "live", 0, 200_000, SECOND))).size());
      assertEquals(
          0, SoakCheckers.liveFirst(runs(batch, run("l", "live", 0, 90_000, SECOND))).size());
    }
  }

  @Nested
  class WholeAnswers {
    /**
     * Guards against wrong or silently truncated answers that pass. An answer cut by a broken
     * connection is allowed, because the caller notices it.
     */
    @Test
    void findsWrongAndSilentlyCutAnswers() {
      assertEquals(
          2,
          SoakCheckers.wholeAnswers(
                  List.of(
                      record(Outcome.WRONG, "", 0, "not the answer to this request"),
                      record(Outcome.CUT, "", 0, "ended without its end marker"),
                      record(Outcome.CUT, "", 0, "connection reset"),
                      record(Outcome.WHOLE, "", 0, "")))
              .size());
    }
  }

  @Nested
  class Refusals {
    /** Guards against a refused request that ran at an engine or plain service unnoticed. */
    @Test
    void findsRefusedWorkThatRan() {
      String fingerprint = AnswerText.toHex(AnswerText.fingerprint("p"));
      EngineRun ran = new EngineRun("e", "r-1", "live", fingerprint, 0, 1, 2, true, 1);
      EngineRun queued = new EngineRun("e", "r-1", "live", fingerprint, 0, -1, 2, false, 0);
      List<LiveRecord> refused = List.of(record(Outcome.ERROR, "not-run", 0, "refused"));
      assertEquals(1, SoakCheckers.refusals(refused, runs(ran), journal, Map.of()).size());
      assertEquals(0, SoakCheckers.refusals(refused, runs(queued), journal, Map.of()).size());
      journal.serviceCalls.add(new SoakJournal.ServiceCall("h", List.of("not-run")));
      journal.serviceCalls.add(new SoakJournal.ServiceCall("i", List.of("not-run", "ran")));
      Map<String, Integer> executions = Map.of("h", 1, "i", 1);
      assertEquals(1, SoakCheckers.refusals(List.of(), runs(), journal, executions).size());
    }
  }

  @Nested
  class AtMostOnce {
    /** Guards against a call that was executed twice and isn't found. */
    @Test
    void findsSecondExecutions() {
      journal.serviceCalls.add(new SoakJournal.ServiceCall("once", List.of("ran")));
      journal.serviceCalls.add(new SoakJournal.ServiceCall("twice", List.of("ran", "unknown")));
      Map<String, Integer> executions = Map.of("once", 1, "twice", 2);
      assertEquals(1, SoakCheckers.atMostOnce(journal, executions).size());
    }
  }

  @Nested
  class Leaving {
    /** Guards against new work at a leaving engine that isn't found. */
    @Test
    void findsWorkAfterThreeSeconds() {
      journal.drains.add(new SoakJournal.UnavailableInterval("e", 10 * SECOND, 20 * SECOND));
      EngineRuns runs =
          runs(
              run("a", "live", 12 * SECOND, 0, 0),
              run("b", "live", 14 * SECOND, 0, 0),
              run("c", "live", 21 * SECOND, 0, 0));
      assertEquals(1, SoakCheckers.leaving(journal, runs).size());
    }
  }

  @Nested
  class PlannedStops {
    /**
     * Guards against requests cut by a planned stop that aren't found, and against counting other
     * failures.
     */
    @Test
    void findsCutRequests() {
      journal.stops.add(new SoakJournal.PlannedStop(ENTRY, 10 * SECOND, 12 * SECOND));
      assertEquals(
          1,
          SoakCheckers.plannedStops(
                  journal,
                  List.of(
                      record(Outcome.CUT, "", 11 * SECOND, "reset"),
                      record(Outcome.CUT, "", 13 * SECOND, "reset"),
                      record(Outcome.ERROR, "unknown", 11 * SECOND, "engine lost")))
              .size());
    }
  }

  @Nested
  class Limits {
    /**
     * Guards against use above a limit that isn't found. An older, higher limit is still allowed
     * for the duration of a lease.
     */
    @Test
    void findsUseOverTheLimit() {
      journal.limitChanges.add(new SoakJournal.LimitChange(0, 10));
      journal.limitChanges.add(new SoakJournal.LimitChange(10 * SECOND, 2));
      // 10 per second throughout: allowed by the first limit, and for 8 s after the second change.
      for (long micros = 0; micros < 30 * SECOND; micros += SECOND / 10) {
        journal.limitedAdmissions.add(micros);
      }
      List<Violation> found = SoakCheckers.limits(journal, 30 * SECOND);
      assertEquals(6, found.size());
      assertEquals(0, SoakCheckers.limits(journal, 18 * SECOND).size());
    }
  }
}
