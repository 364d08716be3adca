package org.sedgeroad.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.http.LineSplitter;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WriteOutcome;

/**
 * Uploads batch files, and submits, queries and cancels batch jobs.
 *
 * <p>All methods block on store calls. Thread-safe.
 */
public final class JobService {
  private static final int MAX_CANCEL_ATTEMPTS = 20;

  private final ObjectMapper mapper = new ObjectMapper();
  private final StoreWriter writer;

  private JobService(StoreWriter writer) {
    this.writer = writer;
  }

  /** Returns a service that stores files and jobs in the writer's store. */
  public static JobService of(StoreWriter writer) {
    return new JobService(writer);
  }

  /** Starts an upload. The file is packed into inputs while its bytes arrive. */
  public UploadSession beginUpload(String member, String name) {
    return new UploadSession(member, name);
  }

  /**
   * Submits a job. Repeating a submission with the same idempotency key, or with the same file if
   * there is no key, returns the job that exists already.
   */
  public SubmitResult submit(Submission submission) {
    StoreResult<StoredObject> found = writer.store().get(Kinds.FILES, submission.fileId());
    if (found instanceof StoreResult.Absent) {
      return new SubmitResult.Invalid("input_file_id", "no such file");
    }
    if (!(found instanceof StoreResult.Done<StoredObject> done)) {
      return new SubmitResult.Refused(found.toString(), Instant.now().plusSeconds(1));
    }
    BatchFile file = BatchFile.fromSpec(submission.fileId(), done.value().spec());
    if (!file.member().equals(submission.member())) {
      return new SubmitResult.Invalid("input_file_id", "no such file");
    }
    Job job = submission.toJob(file, Instant.now());
    WriteOutcome outcome = writer.create(Kinds.JOBS, job.id(), job.toSpec());
    if (outcome instanceof WriteOutcome.Written) {
      return new SubmitResult.Accepted(job);
    }
    if (outcome instanceof WriteOutcome.Lost lost && lost.current() != null) {
      return new SubmitResult.Accepted(Job.fromSpec(job.id(), lost.current().spec()));
    }
    if (outcome instanceof WriteOutcome.NotWritten notWritten) {
      return new SubmitResult.Refused(notWritten.reason(), notWritten.retryAt());
    }
    return new SubmitResult.Unknown(outcome.toString());
  }

  /**
   * Returns a job, {@link StoreResult.Absent} if it does not exist, or {@link
   * StoreResult.Unavailable} if the store call failed.
   */
  public StoreResult<Job> find(String jobId) {
    return read(Kinds.JOBS, jobId, object -> Job.fromSpec(jobId, object.spec()));
  }

  /**
   * Returns a file, {@link StoreResult.Absent} if it does not exist, or {@link
   * StoreResult.Unavailable} if the store call failed.
   */
  public StoreResult<BatchFile> findFile(String fileId) {
    return read(Kinds.FILES, fileId, object -> BatchFile.fromSpec(fileId, object.spec()));
  }

  /** Cancels a job, unless it has completed; cancelling it again has no further effect. */
  public CancelResult cancel(String jobId) {
    for (int attempt = 0; attempt < MAX_CANCEL_ATTEMPTS; attempt++) {
      StoreResult<StoredObject> found = writer.store().get(Kinds.JOBS, jobId);
      if (found instanceof StoreResult.Absent) {
        return new CancelResult.NotFound();
      }
      if (!(found instanceof StoreResult.Done<StoredObject> done)) {
        return new CancelResult.Failed(found.toString(), false);
      }
      Job job = Job.fromSpec(jobId, done.value().spec());
      if (job.state() == JobState.CANCELLED) {
        return new CancelResult.Cancelled(job);
      }
      if (job.state() == JobState.COMPLETED) {
        return new CancelResult.TooLate(job);
      }
      Job cancelled = job.withCancelled(Instant.now());
      WriteOutcome outcome =
          writer.update(Kinds.JOBS, jobId, done.value().version(), cancelled.toSpec());
      if (outcome instanceof WriteOutcome.Written) {
        return new CancelResult.Cancelled(cancelled);
      }
      if (!(outcome instanceof WriteOutcome.Lost)) {
        return new CancelResult.Failed(outcome.toString(), outcome instanceof WriteOutcome.Unknown);
      }
    }
    return new CancelResult.Failed("the job changed too often", false);
  }

  /**
   * Returns the claimed segments of a job in name order, or {@link StoreResult.Unavailable} if the
   * store call failed.
   */
  public StoreResult<List<Segment>> segments(String jobId) {
    StoreResult<ObjectList> listed = writer.store().list(Kinds.SEGMENTS, jobId + ".");
    if (!(listed instanceof StoreResult.Done<ObjectList> done)) {
      return new StoreResult.Unavailable<>(listed.toString());
    }
    List<Segment> segments = new ArrayList<>();
    for (StoredObject object : done.value().objects()) {
      int index = Integer.parseInt(object.name().substring(jobId.length() + 1));
      segments.add(Segment.fromSpec(new SegmentKey(jobId, index), object.spec()));
    }
    return new StoreResult.Done<>(segments);
  }

  /**
   * Passes the result lines of a job to a consumer, one JSON object each, in the order of {@link
   * #segments}.
   *
   * @param succeeded true for the lines of items in state DONE, false for all other lines
   * @param lines receives the lines
   * @return empty on success, otherwise the reason why the results are incomplete
   */
  public Optional<String> results(Job job, boolean succeeded, Consumer<JsonNode> lines) {
    StoreResult<List<Segment>> segments = segments(job.id());
    if (!(segments instanceof StoreResult.Done<List<Segment>> listed)) {
      return Optional.of(segments.toString());
    }
    for (Segment segment : listed.value()) {
      for (String chunk : segment.chunks()) {
        StoreResult<StoredObject> read = writer.store().get(Kinds.RESULTS, chunk);
        if (!(read instanceof StoreResult.Done<StoredObject> found)) {
          return Optional.of("result chunk " + chunk + ": " + read);
        }
        for (JsonNode line : parse(found.value().spec().path("lines").asText())) {
          if (line.path("state").asText().equals(ItemState.DONE.name()) == succeeded) {
            lines.accept(line);
          }
        }
      }
    }
    return Optional.empty();
  }

  private List<JsonNode> parse(String compressed) {
    List<JsonNode> nodes = new ArrayList<>();
    for (String line : CompressedLines.expand(compressed)) {
      try {
        nodes.add(mapper.readTree(line));
      } catch (IOException failure) {
        throw new UncheckedIOException(failure);
      }
    }
    return nodes;
  }

  private <T> StoreResult<T> read(
      String kind, String name, java.util.function.Function<StoredObject, T> reader) {
    StoreResult<StoredObject> found = writer.store().get(kind, name);
    if (found instanceof StoreResult.Done<StoredObject> done) {
      return new StoreResult.Done<>(reader.apply(done.value()));
    }
    return found instanceof StoreResult.Absent
        ? new StoreResult.Absent<>()
        : new StoreResult.Unavailable<>(found.toString());
  }

  /** An upload in progress. Not thread-safe. */
  public final class UploadSession {
    private final String id = "file-" + UUID.randomUUID().toString().replace("-", "");
    private final String member;
    private final String name;
    private final FilePacker packer = new FilePacker(writer, id);
    private final LineSplitter lines = new LineSplitter(packer::accept);

    private UploadSession(String member, String name) {
      this.member = member;
      this.name = name;
    }

    /** Processes the next bytes of the file. */
    public void accept(ByteBuffer bytes) {
      lines.accept(bytes);
    }

    /** Ends the upload and stores the file, unless a line was invalid or a write failed. */
    public UploadResult finish() {
      lines.finish();
      UploadResult failure = packer.finish();
      if (failure != null) {
        return failure;
      }
      BatchFile file =
          new BatchFile(
              id, member, name, packer.bytes(), packer.items(), packer.segments(), Instant.now());
      WriteOutcome outcome = writer.create(Kinds.FILES, id, file.toSpec());
      return outcome instanceof WriteOutcome.Written
          ? new UploadResult.Stored(file)
          : new UploadResult.StoreFailed(outcome.toString());
    }
  }
}
