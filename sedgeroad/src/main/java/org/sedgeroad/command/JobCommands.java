package org.sedgeroad.command;

import com.fasterxml.jackson.databind.node.MissingNode;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.job.CancelResult;
import org.sedgeroad.job.ItemCounts;
import org.sedgeroad.job.Job;
import org.sedgeroad.job.JobService;
import org.sedgeroad.job.JobState;
import org.sedgeroad.job.Segment;
import org.sedgeroad.job.Submission;
import org.sedgeroad.job.SubmitResult;
import org.sedgeroad.store.StoreResult;

/** Executes statements about batch jobs. */
final class JobCommands {
  private final JobService jobs;
  private final ConfigurationReplica replica;

  JobCommands(JobService jobs, ConfigurationReplica replica) {
    this.jobs = jobs;
    this.replica = replica;
  }

  CommandResult submit(Statement.SubmitJob statement) {
    SubmitResult result =
        jobs.submit(
            new Submission(
                statement.member(),
                statement.file(),
                statement.path(),
                statement.window(),
                Instant.now().plus(duration(statement.window())),
                statement.key(),
                MissingNode.getInstance()));
    if (result instanceof SubmitResult.Accepted accepted) {
      return singleRowTable(accepted.job(), accepted.job().counts()).toResult();
    }
    if (result instanceof SubmitResult.Refused refused) {
      return new CommandResult.Unavailable(refused.reason(), refused.retryAt());
    }
    if (result instanceof SubmitResult.Unknown unknown) {
      return new CommandResult.OutcomeUnknown(unknown.reason());
    }
    SubmitResult.Invalid invalid = (SubmitResult.Invalid) result;
    return CommandResult.refused(
        invalid.message()
            + "; member '"
            + statement.member()
            + "' must upload the file first (POST /v1/files)");
  }

  CommandResult cancel(Statement.CancelJob statement) {
    CancelResult result = jobs.cancel(statement.job());
    if (result instanceof CancelResult.Cancelled cancelled) {
      return singleRowTable(cancelled.job(), cancelled.job().counts()).toResult();
    }
    if (result instanceof CancelResult.TooLate tooLate) {
      return CommandResult.conflict(
          "the job completed before it could be cancelled",
          "jobs/" + tooLate.job().id() + " completed at " + tooLate.job().endedAt());
    }
    if (result instanceof CancelResult.Failed failed) {
      return failed.mayBeCancelled()
          ? new CommandResult.OutcomeUnknown(failed.reason())
          : new CommandResult.Unavailable(failed.reason(), Instant.now().plusSeconds(1));
    }
    return noSuchJob(statement.job());
  }

  CommandResult list(Statement.ShowJobs statement) {
    List<Job> found =
        replica.list(Kinds.JOBS).stream()
            .map(object -> Job.fromSpec(object.name(), object.spec()))
            .filter(job -> statement.member().map(job.member()::equals).orElse(true))
            .filter(job -> statement.state().map(state -> job.state() == state).orElse(true))
            .sorted(Comparator.comparing(Job::acceptedAt).reversed())
            .limit(statement.limit())
            .toList();
    TableBuilder table = newTable();
    found.forEach(job -> addRow(table, job, job.counts()));
    return table.toResult();
  }

  CommandResult show(Statement.ShowJob statement) {
    StoreResult<Job> found = jobs.find(statement.job());
    if (!(found instanceof StoreResult.Done<Job> done)) {
      return found instanceof StoreResult.Absent
          ? noSuchJob(statement.job())
          : ObjectChanges.unavailable(found);
    }
    Job job = done.value();
    if (job.state() == JobState.COMPLETED) {
      return singleRowTable(job, job.counts()).toResult();
    }
    StoreResult<List<Segment>> segments = jobs.segments(job.id());
    if (!(segments instanceof StoreResult.Done<List<Segment>> listed)) {
      return ObjectChanges.unavailable(segments);
    }
    ItemCounts counts = ItemCounts.ZERO;
    for (Segment segment : listed.value()) {
      counts = counts.plus(segment.counts());
    }
    boolean wait = statement.await() && job.state() == JobState.ACCEPTED;
    return new CommandResult.Done(
        singleRowTable(job, counts).build(),
        Optional.empty(),
        wait ? Optional.of("SHOW JOB '" + job.id() + "' WAIT") : Optional.empty());
  }

  static CommandResult noSuchJob(String job) {
    return CommandResult.refused("no job '" + job + "'; SHOW JOBS lists them");
  }

  private static TableBuilder newTable() {
    return new TableBuilder(
        "job",
        "member",
        "state",
        "items",
        "done",
        "failed",
        "cancelled",
        "unknown",
        "open",
        "accepted",
        "deadline",
        "ended",
        "file");
  }

  private static TableBuilder singleRowTable(Job job, ItemCounts counts) {
    return addRow(newTable(), job, counts);
  }

  private static TableBuilder addRow(TableBuilder table, Job job, ItemCounts counts) {
    int ended = counts.done() + counts.failed() + counts.cancelled() + counts.unknown();
    return table.add(
        job.id(),
        job.member(),
        Tokens.toText(job.state()),
        job.itemCount(),
        counts.done(),
        counts.failed(),
        counts.cancelled(),
        counts.unknown(),
        job.itemCount() - ended,
        job.acceptedAt(),
        job.deadline(),
        job.endedAt() == null ? "" : job.endedAt(),
        job.fileId());
  }

  private static Duration duration(String window) {
    long count = Long.parseLong(window.substring(0, window.length() - 1));
    return switch (window.charAt(window.length() - 1)) {
      case 'm' -> Duration.ofMinutes(count);
      case 'h' -> Duration.ofHours(count);
      default -> Duration.ofDays(count);
    };
  }
}
