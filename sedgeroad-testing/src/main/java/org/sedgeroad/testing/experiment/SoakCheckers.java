package org.sedgeroad.testing.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sedgeroad.testing.engine.AnswerText;
import org.sedgeroad.testing.load.EngineRun;
import org.sedgeroad.testing.load.EngineRuns;
import org.sedgeroad.testing.load.JobOutput;
import org.sedgeroad.testing.load.LiveRecord;
import org.sedgeroad.testing.load.Outcome;

/** Static methods that check the invariants against the records of a soak. */
final class SoakCheckers {
  private static final long SECOND = 1_000_000;
  private static final long CANCEL_BOUND_MICROS = 2 * SECOND;
  private static final long LEASE_MICROS = 6 * SECOND;
  private static final long DRAIN_BOUND_MICROS = 3 * SECOND;

  /**
   * Longest wait of a live request behind batch items: the target of section 1.8 of the design page
   * for a burst after an idle time.
   */
  private static final long MAX_LIVE_WAIT_MICROS = 100_000;

  private SoakCheckers() {}

  /**
   * Checks P1: each accepted job has ended, each of its items has exactly one result, results don't
   * change, and a job that is submitted again stays the same job.
   */
  static List<Violation> exactlyOnce(
      SoakJournal journal, Map<String, JobOutput> first, Map<String, JobOutput> second) {
    List<Violation> violations = new ArrayList<>();
    Set<String> cancelled = new HashSet<>();
    journal.cancellations.forEach(cancel -> cancelled.add(cancel.job()));
    for (SoakJournal.SubmittedJob job : journal.jobs) {
      JobOutput output = first.get(job.id());
      String status = output == null ? "missing" : output.status();
      if (cancelled.contains(job.id())) {
        if (!status.equals("cancelled")) {
          violations.add(new Violation("P1", "cancelled job " + job.id() + " is " + status));
        }
        continue;
      }
      if (!status.equals("completed")) {
        violations.add(new Violation("P1", "job " + job.id() + " is " + status));
        continue;
      }
      addAll(
          violations,
          output.lostItems(job.items()),
          "P1",
          "item without result in job " + job.id());
      addAll(violations, output.completedTwice(), "P1", "item completed twice in job " + job.id());
      if (!output.equals(second.get(job.id()))) {
        violations.add(
            new Violation("P1", "results of job " + job.id() + " differ when read again"));
      }
    }
    for (SoakJournal.Resubmission resubmission : journal.resubmissions) {
      if (!resubmission.originalJob().equals(resubmission.answeredJob())) {
        String detail =
            resubmission.originalJob()
                + " submitted again was answered as "
                + resubmission.answeredJob();
        violations.add(new Violation("P1", detail));
      }
    }
    return violations;
  }

  /**
   * Checks P2: no work of a cancelled job starts later than 2 s after the answer to the
   * cancellation. If there was a failure at about that time, an instance may go on until its lease
   * has expired.
   */
  static List<Violation> cancelled(SoakJournal journal, EngineRuns runs) {
    List<Violation> violations = new ArrayList<>();
    for (SoakJournal.Cancellation cancel : journal.cancellations) {
      long from = cancel.answeredMicros() - LEASE_MICROS;
      boolean failureNearby =
          overlaps(journal.failures, from, cancel.answeredMicros() + LEASE_MICROS);
      long lastAllowedMicros =
          cancel.answeredMicros()
              + (failureNearby ? LEASE_MICROS + CANCEL_BOUND_MICROS : CANCEL_BOUND_MICROS);
      runs.stream(run -> run.requestId().startsWith(cancel.job() + "."))
          .filter(run -> run.acceptMicros() > lastAllowedMicros)
          .forEach(
              run ->
                  violations.add(
                      new Violation(
                          "P2",
                          describe(run)
                              + " began; time since the cancellation: "
                              + elapsedText(run.acceptMicros(), cancel.answeredMicros()))));
    }
    return violations;
  }

  /** Checks P3: no live run waits for a slot behind batch items for longer than 100 ms. */
  static List<Violation> liveFirst(EngineRuns runs) {
    List<Violation> violations = new ArrayList<>();
    for (QueueWaits.Wait wait : QueueWaits.behindBatch(runs, 0, Long.MAX_VALUE)) {
      long micros = wait.untilMicros() - wait.run().acceptMicros();
      if (micros > MAX_LIVE_WAIT_MICROS) {
        String detail = describe(wait.run()) + " waited " + micros / 1_000 + " ms behind batch";
        violations.add(new Violation("P3", detail));
      }
    }
    return violations;
  }

  /** Checks P4: no answer is wrong or ends without its end marker or an error. */
  static List<Violation> wholeAnswers(List<LiveRecord> records) {
    return records.stream()
        .filter(
            record ->
                record.outcome() == Outcome.WRONG
                    || record.outcome() == Outcome.CUT
                        && record.detail().contains("without its end marker"))
        .map(record -> new Violation("P4", describe(record)))
        .toList();
  }

  /** Checks P5: a request refused with {@code not-run} got no engine slot and wasn't executed. */
  static List<Violation> refusals(
      List<LiveRecord> records,
      EngineRuns runs,
      SoakJournal journal,
      Map<String, Integer> executions) {
    Map<String, EngineRun> started = new HashMap<>();
    runs.stream(run -> run.startMicros() >= 0).forEach(run -> started.put(run.fingerprint(), run));
    List<Violation> violations = new ArrayList<>();
    for (LiveRecord record : records) {
      String prompt = record.request().prompt();
      EngineRun run = started.get(AnswerText.toHex(AnswerText.fingerprint(prompt)));
      if (record.work().equals("not-run") && run != null) {
        violations.add(new Violation("P5", describe(record) + " ran as " + describe(run)));
      }
    }
    for (SoakJournal.ServiceCall call : journal.serviceCalls) {
      boolean refused = !call.work().isEmpty() && call.work().stream().allMatch("not-run"::equals);
      if (refused && executions.containsKey(call.bodyHash())) {
        violations.add(new Violation("P5", "call with body " + call.bodyHash() + " was executed"));
      }
    }
    return violations;
  }

  /** Checks P6: a non-idempotent call was executed at most once. */
  static List<Violation> atMostOnce(SoakJournal journal, Map<String, Integer> executions) {
    List<Violation> violations = new ArrayList<>();
    for (SoakJournal.ServiceCall call : journal.serviceCalls) {
      int count = executions.getOrDefault(call.bodyHash(), 0);
      if (count > 1) {
        String detail = "call with body " + call.bodyHash() + " executed " + count + " times";
        violations.add(new Violation("P6", detail));
      }
    }
    return violations;
  }

  /** Checks P7: a leaving engine accepts no new work later than 3 s after it began to leave. */
  static List<Violation> leaving(SoakJournal journal, EngineRuns runs) {
    List<Violation> violations = new ArrayList<>();
    for (SoakJournal.UnavailableInterval drain : journal.drains) {
      runs.stream(run -> run.engine().equals(drain.name()))
          .filter(run -> run.acceptMicros() > drain.from() + DRAIN_BOUND_MICROS)
          .filter(run -> run.acceptMicros() < drain.to())
          .forEach(
              run ->
                  violations.add(
                      new Violation(
                          "P7",
                          describe(run)
                              + " was accepted; time since the engine began to leave: "
                              + elapsedText(run.acceptMicros(), drain.from()))));
    }
    return violations;
  }

  /** Checks P8: no request lost its connection because its instance was stopped as planned. */
  static List<Violation> plannedStops(SoakJournal journal, List<LiveRecord> records) {
    List<Violation> violations = new ArrayList<>();
    for (SoakJournal.PlannedStop stop : journal.stops) {
      records.stream()
          .filter(record -> record.target().equals(stop.entry()))
          .filter(record -> record.outcome() == Outcome.CUT || record.outcome() == Outcome.NOT_SENT)
          .filter(record -> record.startMicros() < stop.to())
          .filter(record -> record.startMicros() + record.totalNanos() / 1_000 >= stop.from())
          .forEach(record -> violations.add(new Violation("P8", describe(record))));
    }
    return violations;
  }

  /**
   * Checks P9: no window of 2 s has more admissions than the highest limit that an instance may
   * still apply allows in 3 s, of which 1 s is a burst. The first window begins 2 s after the first
   * limit change.
   */
  static List<Violation> limits(SoakJournal journal, long endMicros) {
    List<Violation> violations = new ArrayList<>();
    if (journal.limitChanges.isEmpty()) {
      return violations;
    }
    long step = 2 * SECOND;
    long first = journal.limitChanges.get(0).acceptedMicros() + step;
    for (long from = first; from + step <= endMicros; from += step) {
      long start = from;
      long limit = highestLimit(journal, from, from + step);
      long admitted =
          journal.limitedAdmissions.stream()
              .filter(micros -> micros >= start && micros < start + step)
              .count();
      if (admitted > 3 * limit) {
        String detail =
            admitted + " admitted in 2 s from " + from + " with a limit of " + limit + "/s";
        violations.add(new Violation("P9", detail));
      }
    }
    return violations;
  }

  /**
   * Returns the highest limit of the window and of the 8 s before it, which are the duration of a
   * lease and 2 s.
   */
  private static long highestLimit(SoakJournal journal, long from, long to) {
    List<SoakJournal.LimitChange> changes = journal.limitChanges;
    // A change with unknown outcome may be in force until the end of the soak.
    long highest =
        journal.uncertainLimitChanges.stream()
            .mapToLong(SoakJournal.LimitChange::requestsPerSecond)
            .max()
            .orElse(0);
    long before = from - LEASE_MICROS - CANCEL_BOUND_MICROS;
    for (int index = 0; index < changes.size(); index++) {
      long end =
          index + 1 < changes.size() ? changes.get(index + 1).acceptedMicros() : Long.MAX_VALUE;
      if (changes.get(index).acceptedMicros() < to && end > before) {
        highest = Math.max(highest, changes.get(index).requestsPerSecond());
      }
    }
    return highest;
  }

  private static boolean overlaps(List<SoakJournal.UnavailableInterval> times, long from, long to) {
    return times.stream().anyMatch(time -> time.from() < to && time.to() > from);
  }

  private static void addAll(
      List<Violation> violations, long count, String invariant, String detail) {
    for (long index = 0; index < count; index++) {
      violations.add(new Violation(invariant, detail));
    }
  }

  private static String elapsedText(long micros, long since) {
    return (micros - since) / 1_000 + " ms";
  }

  private static String describe(EngineRun run) {
    return "run " + run.requestId() + " at " + run.engine();
  }

  private static String describe(LiveRecord record) {
    return "request "
        + record.requestId()
        + " at "
        + record.target()
        + ": "
        + record.outcome()
        + " "
        + record.status()
        + " "
        + record.work()
        + " "
        + record.detail();
  }
}
