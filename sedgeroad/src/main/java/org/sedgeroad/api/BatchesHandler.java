package org.sedgeroad.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sedgeroad.WorkState;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.job.CancelResult;
import org.sedgeroad.job.ItemCounts;
import org.sedgeroad.job.Job;
import org.sedgeroad.job.JobService;
import org.sedgeroad.job.JobState;
import org.sedgeroad.job.Submission;
import org.sedgeroad.job.SubmitResult;
import org.sedgeroad.live.LiveFailure;
import org.sedgeroad.store.StoreResult;

/** Serves the batch job endpoints of the callers' API. Runs on worker threads. */
final class BatchesHandler {
  private static final Pattern COMPLETION_WINDOW = Pattern.compile("([1-9][0-9]{0,3})([mhd])");

  private final ObjectMapper mapper = new ObjectMapper();
  private final JobService jobs;
  private final ConfigurationReplica replica;
  private final EventLog log;

  BatchesHandler(JobService jobs, ConfigurationReplica replica, EventLog log) {
    this.jobs = jobs;
    this.replica = replica;
    this.log = log;
  }

  /** Submits a job and responds with it. */
  void create(HttpServerExchange exchange, String member) throws IOException {
    JsonNode body;
    try {
      body = mapper.readTree(RequestBody.of(exchange));
    } catch (JsonProcessingException invalid) {
      ApiErrors.sendInvalid(exchange, null, "not valid JSON: " + invalid.getOriginalMessage());
      return;
    }
    String window = body.path("completion_window").asText("24h");
    Optional<Duration> windowLength = parseWindow(window);
    if (windowLength.isEmpty()) {
      ApiErrors.sendInvalid(exchange, "completion_window", "expected a number and m, h or d");
      return;
    }
    String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
    Submission submission =
        new Submission(
            member,
            body.path("input_file_id").asText(""),
            body.path("endpoint").asText(""),
            window,
            Instant.now().plus(windowLength.get()),
            key == null ? "" : key,
            body.path("metadata"));
    sendResult(exchange, jobs.submit(submission));
  }

  private void sendResult(HttpServerExchange exchange, SubmitResult result) {
    if (result instanceof SubmitResult.Accepted accepted) {
      log.log(
          LogEvent.JOB_ACCEPTED,
          EventField.of("job", accepted.job().id()),
          EventField.of("member", accepted.job().member()),
          EventField.of("items", accepted.job().itemCount()));
      Json.send(exchange, toJson(accepted.job()));
    } else if (result instanceof SubmitResult.Invalid invalid) {
      ApiErrors.sendInvalid(exchange, invalid.parameter(), invalid.message());
    } else if (result instanceof SubmitResult.Refused refused) {
      ApiErrors.send(
          exchange,
          new LiveFailure(
              503,
              "store_unavailable",
              "the job can't be accepted now: " + refused.reason(),
              WorkState.NOT_RUN,
              Optional.of(refused.retryAt())),
          null);
    } else if (result instanceof SubmitResult.Unknown unknown) {
      ApiErrors.send(
          exchange,
          new LiveFailure(
              503,
              "outcome_unknown",
              "the job may have been accepted; submit it again to find out: " + unknown.reason(),
              WorkState.UNKNOWN,
              Optional.of(Instant.now().plusSeconds(1))),
          null);
    }
  }

  /** Responds with one job of the member. */
  void describe(HttpServerExchange exchange, String member, String id) {
    StoreResult<Job> found = jobs.find(id);
    if (found instanceof StoreResult.Done<Job> done && done.value().member().equals(member)) {
      Json.send(exchange, toJson(done.value()));
    } else if (found instanceof StoreResult.Unavailable) {
      FilesHandler.sendStoreUnavailable(exchange);
    } else {
      ApiErrors.sendNotFound(exchange, "no such batch: " + id);
    }
  }

  /** Responds with the member's jobs in this instance's configuration replica, newest first. */
  void list(HttpServerExchange exchange, String member) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("object", "list");
    ArrayNode data = root.putArray("data");
    List<Job> memberJobs =
        replica.list(Kinds.JOBS).stream()
            .map(object -> Job.fromSpec(object.name(), object.spec()))
            .filter(job -> job.member().equals(member))
            .sorted(Comparator.comparing(Job::acceptedAt).reversed())
            .toList();
    memberJobs.forEach(job -> data.add(toJson(job)));
    root.put("has_more", false);
    Json.send(exchange, root);
  }

  /** Cancels a job of the member and responds with it. */
  void cancel(HttpServerExchange exchange, String member, String id) {
    StoreResult<Job> found = jobs.find(id);
    if (found instanceof StoreResult.Unavailable) {
      FilesHandler.sendStoreUnavailable(exchange);
      return;
    }
    if (!(found instanceof StoreResult.Done<Job> done) || !done.value().member().equals(member)) {
      ApiErrors.sendNotFound(exchange, "no such batch: " + id);
      return;
    }
    CancelResult result = jobs.cancel(id);
    if (result instanceof CancelResult.Cancelled cancelled) {
      log.log(LogEvent.JOB_CANCELLED, EventField.of("job", id));
      Json.send(exchange, toJson(cancelled.job()));
    } else if (result instanceof CancelResult.TooLate) {
      ApiErrors.send(
          exchange,
          new LiveFailure(
              409,
              "already_completed",
              "the batch completed before it could be cancelled",
              WorkState.RAN,
              Optional.empty()),
          null);
    } else if (result instanceof CancelResult.Failed failed) {
      ApiErrors.send(
          exchange,
          new LiveFailure(
              503,
              failed.mayBeCancelled() ? "outcome_unknown" : "store_unavailable",
              "the batch could not be cancelled: " + failed.reason(),
              failed.mayBeCancelled() ? WorkState.UNKNOWN : WorkState.NOT_RUN,
              Optional.of(Instant.now().plusSeconds(1))),
          null);
    } else {
      ApiErrors.sendNotFound(exchange, "no such batch: " + id);
    }
  }

  /** Parses a window such as {@code 24h}; empty if the text is not valid. */
  private static Optional<Duration> parseWindow(String text) {
    Matcher matcher = COMPLETION_WINDOW.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    long count = Long.parseLong(matcher.group(1));
    return Optional.of(
        switch (matcher.group(2)) {
          case "m" -> Duration.ofMinutes(count);
          case "h" -> Duration.ofHours(count);
          default -> Duration.ofDays(count);
        });
  }

  /** Returns a job in the JSON format of the callers' API. */
  static ObjectNode toJson(Job job) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("id", job.id());
    node.put("object", "batch");
    node.put("endpoint", job.path());
    node.put("input_file_id", job.fileId());
    node.put("completion_window", job.window());
    node.put("status", status(job));
    node.put("created_at", job.acceptedAt().getEpochSecond());
    node.put("in_progress_at", job.acceptedAt().getEpochSecond());
    node.put("expires_at", job.deadline().getEpochSecond());
    if (job.endedAt() != null) {
      String field = job.state() == JobState.CANCELLED ? "cancelled_at" : "completed_at";
      node.put(field, job.endedAt().getEpochSecond());
    }
    ItemCounts counts = job.counts();
    if (job.state() != JobState.ACCEPTED) {
      node.put("output_file_id", FilesHandler.OUTPUT_PREFIX + job.id());
      node.put("error_file_id", FilesHandler.ERRORS_PREFIX + job.id());
    }
    ObjectNode requests = node.putObject("request_counts");
    requests.put("total", job.itemCount());
    requests.put("completed", counts.done());
    requests.put("failed", counts.failed() + counts.unknown());
    if (job.metadata().isObject()) {
      node.set("metadata", job.metadata());
    }
    return node;
  }

  private static String status(Job job) {
    return switch (job.state()) {
      case ACCEPTED -> "in_progress";
      case CANCELLED -> "cancelled";
      case COMPLETED -> "completed";
    };
  }
}
