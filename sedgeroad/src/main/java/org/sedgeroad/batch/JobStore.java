package org.sedgeroad.batch;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import org.sedgeroad.store.JsonStoreCalls;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WriteOutcome;

/** Reads and writes jobs in the object store. Calls block. Thread-safe. */
public final class JobStore {
  /** Object kind of the job heads. */
  public static final String JOBS = "jobs";

  private static final String ITEMS = "job-items";
  private static final String RESULTS = "job-results";

  /**
   * Part of an object that is reserved for what the store and {@link StoreWriter} add to it, in
   * bytes: names, versions and marks.
   */
  private static final long RESERVED_OBJECT_BYTES = 4_096;

  /** Part of an object that is reserved for what a result has beside its output, in bytes. */
  private static final long RESERVED_RESULT_BYTES = 1_024;

  /**
   * Maximum retry delay in the answer to a refused submission, in milliseconds. {@link StoreWriter}
   * uses the same delay for a store that is unavailable.
   */
  private static final long MAXIMUM_RETRY_MILLIS = 1_000;

  /**
   * Maximum attempts at a conditional update that competes with other writers. Conflicts are rare,
   * because a head is written only two or three times altogether.
   */
  private static final int MAXIMUM_UPDATE_ATTEMPTS = 5;

  private final StoreWriter writer;
  private final SizeLimit contentLimit;

  private JobStore(StoreWriter writer, SizeLimit contentLimit) {
    this.writer = writer;
    this.contentLimit = contentLimit;
  }

  /**
   * Returns a job store that uses a writer.
   *
   * @param writer the writer
   * @param objectBytes largest size of an object of the store, in bytes, more than 4,096
   */
  public static JobStore of(StoreWriter writer, long objectBytes) {
    return new JobStore(writer, new SizeLimit(objectBytes - RESERVED_OBJECT_BYTES));
  }

  /** Returns the largest size of the output of an item, in bytes of its JSON form. */
  long maximumOutputBytes() {
    return contentLimit.bytes() - RESERVED_RESULT_BYTES;
  }

  /** Returns the largest size of the items or results in one object. */
  SizeLimit contentLimit() {
    return contentLimit;
  }

  /**
   * Stores a job, the items first. The job is accepted once its head exists.
   *
   * @param submission job to store
   * @param draft head to store, not ended; its number of item objects is replaced by the actual
   *     number
   */
  public AcceptResult accept(JobSubmission submission, JobHead draft) {
    for (ItemSpec item : submission.items()) {
      if (JsonSize.of(item) > contentLimit.bytes()) {
        return new AcceptResult.Rejected(
            "item " + item.id() + " is larger than " + contentLimit.bytes() + " bytes");
      }
    }
    List<List<ItemSpec>> groups = contentLimit.groups(submission.items(), JsonSize::of);
    for (int index = 0; index < groups.size(); index++) {
      WriteOutcome written =
          writer.create(
              ITEMS, objectName(submission.id(), index), JobCodec.encodeItems(groups.get(index)));
      // An earlier attempt at the same submission may have stored the same items.
      boolean exists = written instanceof WriteOutcome.Lost lost && lost.current() != null;
      if (written instanceof WriteOutcome.Rejected rejected) {
        return new AcceptResult.Rejected("items not stored: " + rejected.reason());
      }
      if (!exists && !(written instanceof WriteOutcome.Written)) {
        return new AcceptResult.NotAccepted("items not stored: " + written, retryMillis(written));
      }
    }
    JobHead head = draft.withItemObjects(groups.size());
    WriteOutcome written = writer.create(JOBS, submission.id(), JobCodec.encode(head));
    if (written instanceof WriteOutcome.Written done) {
      return new AcceptResult.Accepted(head, done.object().version(), true);
    }
    if (written instanceof WriteOutcome.Lost lost && lost.current() != null) {
      return new AcceptResult.Accepted(decode(lost.current()), lost.current().version(), false);
    }
    if (written instanceof WriteOutcome.Rejected rejected) {
      return new AcceptResult.Rejected("job not stored: " + rejected.reason());
    }
    if (written instanceof WriteOutcome.NotWritten) {
      return new AcceptResult.NotAccepted("job not stored: " + written, retryMillis(written));
    }
    return new AcceptResult.Unknown(written.toString());
  }

  /** Reads the object that contains the head of a job. */
  public StoreResult<StoredObject> read(String job) {
    return writer.store().get(JOBS, job);
  }

  /** Reads the object that contains the head of a job as it was some seconds ago or later. */
  public StoreResult<StoredObject> readStale(String job) {
    return writer.store().getStale(JOBS, job);
  }

  /** Returns the job head that an object contains. */
  public static JobHead decode(StoredObject object) {
    return JobCodec.decodeHead(object.name(), object.spec());
  }

  /**
   * Marks a job as ended. The outcome is {@link WriteOutcome.Lost} without an object if the job
   * does not exist.
   */
  public WriteOutcome end(String job) {
    for (int attempt = 0; attempt < MAXIMUM_UPDATE_ATTEMPTS; attempt++) {
      StoreResult<StoredObject> read = read(job);
      if (read instanceof StoreResult.Absent) {
        return new WriteOutcome.Lost(null);
      }
      if (!(read instanceof StoreResult.Done<StoredObject> done)) {
        return new WriteOutcome.NotWritten(read.toString(), Instant.now());
      }
      JobHead head = decode(done.value());
      if (head.ended()) {
        return new WriteOutcome.Written(done.value());
      }
      WriteOutcome written =
          writer.update(JOBS, job, done.value().version(), JobCodec.encode(head.withEnded()));
      if (!(written instanceof WriteOutcome.Lost)) {
        return written;
      }
    }
    return new WriteOutcome.NotWritten("other writers changed the job", Instant.now());
  }

  /** Changes the owner of a job if its head still has the given store version. */
  public WriteOutcome takeOver(JobHead head, long version, String owner) {
    return writer.update(JOBS, head.id(), version, JobCodec.encode(head.withOwner(owner)));
  }

  /** Reads all items of a job in the order of submission. */
  public StoreResult<List<ItemSpec>> readItems(JobHead head) {
    List<ItemSpec> items = new ArrayList<>();
    for (int index = 0; index < head.itemObjects(); index++) {
      StoreResult<StoredObject> read = writer.store().get(ITEMS, objectName(head.id(), index));
      if (!(read instanceof StoreResult.Done<StoredObject> done)) {
        return new StoreResult.Unavailable<>("items not read: " + read);
      }
      items.addAll(JobCodec.decodeItems(done.value().spec()));
    }
    return new StoreResult.Done<>(items);
  }

  /**
   * Stores a chunk of results under a number. The outcome is {@link WriteOutcome.Lost} with the
   * existing chunk if the number is taken.
   */
  public WriteOutcome append(String job, int chunk, List<JobResult> results) {
    return writer.create(RESULTS, objectName(job, chunk), JobCodec.encodeResults(results));
  }

  /** Returns the results that a stored chunk contains. */
  public static List<JobResult> decodeChunk(StoredObject chunk) {
    return JobCodec.decodeResults(chunk.spec());
  }

  /**
   * Reads the chunks of results, starting at number {@code first} and ending before the first
   * number that does not exist.
   */
  public StoreResult<List<List<JobResult>>> readChunks(String job, int first) {
    StoreResult<List<StoredObject>> read = readResultObjects(job, first, writer.store()::get);
    return read instanceof StoreResult.Done<List<StoredObject>> done
        ? new StoreResult.Done<>(done.value().stream().map(JobStore::decodeChunk).toList())
        : JsonStoreCalls.castFailure(read);
  }

  /**
   * Deletes a finished job. The result is {@link StoreResult.Done} or {@link StoreResult.Absent} if
   * nothing of the job is left.
   *
   * <p>Results and items never change, so that a read of the store as it was some seconds ago,
   * which costs less, finds their versions; that an object does not exist is confirmed by a read as
   * it is.
   *
   * <p>The job is marked as ended first, so that no instance runs it again after its results have
   * been deleted. Results are deleted from the last to the first, and the head is deleted after
   * everything else, so that a retry after a failure finds all remaining objects.
   */
  public StoreResult<StoredObject> delete(String job, int itemObjects) {
    WriteOutcome ended = end(job);
    if (!(ended instanceof WriteOutcome.Written written)) {
      boolean gone = ended instanceof WriteOutcome.Lost lost && lost.current() == null;
      return gone
          ? new StoreResult.Absent<>()
          : new StoreResult.Unavailable<>("job not marked as ended: " + ended);
    }
    StoreResult<List<StoredObject>> chunks = readResultObjects(job, 0, this::getImmutable);
    if (!(chunks instanceof StoreResult.Done<List<StoredObject>> results)) {
      return JsonStoreCalls.castFailure(chunks);
    }
    List<StoredObject> objects = new ArrayList<>();
    for (int index = 0; index < itemObjects; index++) {
      StoreResult<StoredObject> read = getImmutable(ITEMS, objectName(job, index));
      if (read instanceof StoreResult.Done<StoredObject> item) {
        objects.add(item.value());
      } else if (!(read instanceof StoreResult.Absent)) {
        return read;
      }
    }
    objects.addAll(results.value());
    for (int index = objects.size() - 1; index >= 0; index--) {
      StoredObject object = objects.get(index);
      StoreResult<StoredObject> deleted =
          writer.store().delete(object.kind(), object.name(), object.version());
      if (!isDeleted(deleted)) {
        return deleted;
      }
    }
    return writer.store().delete(JOBS, job, written.object().version());
  }

  /** Returns whether the result of a deletion shows that the object no longer exists. */
  static boolean isDeleted(StoreResult<StoredObject> deleted) {
    return deleted instanceof StoreResult.Done || deleted instanceof StoreResult.Absent;
  }

  private StoreResult<StoredObject> getImmutable(String kind, String name) {
    StoreResult<StoredObject> stale = writer.store().getStale(kind, name);
    return stale instanceof StoreResult.Done ? stale : writer.store().get(kind, name);
  }

  private static StoreResult<List<StoredObject>> readResultObjects(
      String job, int first, BiFunction<String, String, StoreResult<StoredObject>> reader) {
    List<StoredObject> objects = new ArrayList<>();
    while (true) {
      StoreResult<StoredObject> read =
          reader.apply(RESULTS, objectName(job, first + objects.size()));
      if (read instanceof StoreResult.Done<StoredObject> done) {
        objects.add(done.value());
      } else if (read instanceof StoreResult.Absent) {
        return new StoreResult.Done<>(objects);
      } else {
        return new StoreResult.Unavailable<>("results not read: " + read);
      }
    }
  }

  private static String objectName(String job, int index) {
    return job + "." + index;
  }

  private static long retryMillis(WriteOutcome outcome) {
    if (!(outcome instanceof WriteOutcome.NotWritten notWritten)) {
      return 0;
    }
    // Bounded, because the system clock may have been set in the meantime.
    long millis = notWritten.retryAt().toEpochMilli() - Instant.now().toEpochMilli();
    return Math.max(0, Math.min(MAXIMUM_RETRY_MILLIS, millis));
  }
}
