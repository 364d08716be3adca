package org.sedgeroad.batch;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.sedgeroad.store.JsonStoreCalls;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WriteOutcome;

/** Reads and writes jobs in the store. Calls block; thread-safe. */
public final class JobStore {
  /** Kind of the job objects. */
  public static final String JOBS = "jobs";

  private static final String ITEMS = "job-items";
  private static final String RESULTS = "job-results";

  /** Bound on the bodies in one object, in characters; an object may have 1 MB. */
  private static final int OBJECT_CHARACTERS = 700_000;

  /**
   * Longest time after which a refused submission may come back, in milliseconds; what the writer
   * names for a store that refuses.
   */
  private static final long MOST_RETRY_MILLIS = 1_000;

  /** Tries of a conditional change against other writers; a head has two or three in its life. */
  private static final int CHANGE_TRIES = 5;

  private final StoreWriter writer;

  private JobStore(StoreWriter writer) {
    this.writer = writer;
  }

  /** Returns a store of jobs that writes in the writer's name. */
  public static JobStore of(StoreWriter writer) {
    return new JobStore(writer);
  }

  // -----------------------------------------------------------------------

  /** Writes a job, its items first; the job is accepted once the head exists. */
  public AcceptResult accept(JobSubmission submission, JobHead draft) {
    List<List<ItemSpec>> parts = split(submission.items());
    for (int index = 0; index < parts.size(); index++) {
      WriteOutcome written =
          writer.create(
              ITEMS, objectName(submission.id(), index), JobCodec.encodeItems(parts.get(index)));
      // An earlier try of the same submission may have written the same items.
      boolean exists = written instanceof WriteOutcome.Lost lost && lost.current() != null;
      if (!exists && !(written instanceof WriteOutcome.Written)) {
        return new AcceptResult.NotAccepted("items not stored: " + written, retryMillis(written));
      }
    }
    JobHead head =
        new JobHead(
            draft.id(),
            draft.host(),
            draft.path(),
            draft.submittedMillis(),
            draft.itemCount(),
            parts.size(),
            draft.tokens(),
            draft.owner(),
            false);
    WriteOutcome written = writer.create(JOBS, submission.id(), JobCodec.encode(head));
    if (written instanceof WriteOutcome.Written done) {
      return new AcceptResult.Accepted(head, done.object().version(), true);
    }
    if (written instanceof WriteOutcome.Lost lost && lost.current() != null) {
      return new AcceptResult.Accepted(decode(lost.current()), lost.current().version(), false);
    }
    if (written instanceof WriteOutcome.NotWritten) {
      return new AcceptResult.NotAccepted("job not stored: " + written, retryMillis(written));
    }
    return new AcceptResult.Unknown(written.toString());
  }

  /** Reads a job's head. */
  public StoreResult<StoredObject> read(String job) {
    return writer.store().get(JOBS, job);
  }

  /** Returns the head in a stored object. */
  public static JobHead decode(StoredObject object) {
    return JobCodec.decodeHead(object.name(), object.spec());
  }

  /** Marks a job as ended by its client; Lost without an object means that there is none. */
  public WriteOutcome end(String job) {
    for (int attempt = 0; attempt < CHANGE_TRIES; attempt++) {
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
          writer.update(JOBS, job, done.value().version(), JobCodec.encode(head.withEnd()));
      if (!(written instanceof WriteOutcome.Lost)) {
        return written;
      }
    }
    return new WriteOutcome.NotWritten("other writers changed the job", Instant.now());
  }

  /** Makes an instance the owner of a job if the head still has the given version. */
  public WriteOutcome takeOver(JobHead head, long version, String owner) {
    return writer.update(JOBS, head.id(), version, JobCodec.encode(head.withOwner(owner)));
  }

  /** Reads all items of a job. */
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

  /** Appends a chunk of results; Lost carries the chunk that has the number already. */
  public WriteOutcome append(String job, int chunk, List<JobResult> results) {
    return writer.create(RESULTS, objectName(job, chunk), JobCodec.encodeResults(results));
  }

  /** Returns the results in a stored chunk. */
  public static List<JobResult> decodeChunk(StoredObject chunk) {
    return JobCodec.decodeResults(chunk.spec());
  }

  /** Reads the chunks of results from a number on, up to the first that does not exist. */
  public StoreResult<List<List<JobResult>>> readChunks(String job, int first) {
    StoreResult<List<StoredObject>> read = readResultObjects(job, first);
    return read instanceof StoreResult.Done<List<StoredObject>> done
        ? new StoreResult.Done<>(done.value().stream().map(JobStore::decodeChunk).toList())
        : JsonStoreCalls.failure(read);
  }

  /**
   * Deletes a job that is over; Done or Absent if nothing of it is left.
   *
   * <p>The job is marked as ended first, so that nobody runs it again without its results. The head
   * goes last and the results go from the last to the first, so that a repeat after a failure still
   * finds all that is left.
   */
  public StoreResult<StoredObject> delete(String job, int itemObjects) {
    WriteOutcome ended = end(job);
    if (!(ended instanceof WriteOutcome.Written written)) {
      boolean gone = ended instanceof WriteOutcome.Lost lost && lost.current() == null;
      return gone
          ? new StoreResult.Absent<>()
          : new StoreResult.Unavailable<>("job not marked: " + ended);
    }
    StoreResult<List<StoredObject>> chunks = readResultObjects(job, 0);
    if (!(chunks instanceof StoreResult.Done<List<StoredObject>> results)) {
      return JsonStoreCalls.failure(chunks);
    }
    List<StoredObject> objects = new ArrayList<>();
    for (int index = 0; index < itemObjects; index++) {
      StoreResult<StoredObject> read = writer.store().get(ITEMS, objectName(job, index));
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
      if (!isGone(deleted)) {
        return deleted;
      }
    }
    return writer.store().delete(JOBS, job, written.object().version());
  }

  /** Returns whether a deleted object is certainly gone. */
  static boolean isGone(StoreResult<StoredObject> deleted) {
    return deleted instanceof StoreResult.Done || deleted instanceof StoreResult.Absent;
  }

  // -----------------------------------------------------------------------

  private StoreResult<List<StoredObject>> readResultObjects(String job, int first) {
    List<StoredObject> objects = new ArrayList<>();
    while (true) {
      StoreResult<StoredObject> read =
          writer.store().get(RESULTS, objectName(job, first + objects.size()));
      if (read instanceof StoreResult.Done<StoredObject> done) {
        objects.add(done.value());
      } else if (read instanceof StoreResult.Absent) {
        return new StoreResult.Done<>(objects);
      } else {
        return new StoreResult.Unavailable<>("results not read: " + read);
      }
    }
  }

  private static List<List<ItemSpec>> split(List<ItemSpec> items) {
    List<List<ItemSpec>> parts = new ArrayList<>();
    int characters = 0;
    for (ItemSpec item : items) {
      int size = item.body().length() + item.target().length() + 300;
      if (parts.isEmpty() || characters + size > OBJECT_CHARACTERS) {
        parts.add(new ArrayList<>());
        characters = 0;
      }
      characters += size;
      parts.get(parts.size() - 1).add(item);
    }
    return parts;
  }

  private static String objectName(String job, int index) {
    return job + "." + index;
  }

  private static long retryMillis(WriteOutcome outcome) {
    if (!(outcome instanceof WriteOutcome.NotWritten late)) {
      return 0;
    }
    // Bounded, because the clock may have been set meanwhile.
    long millis = late.retryAt().toEpochMilli() - Instant.now().toEpochMilli();
    return Math.max(0, Math.min(MOST_RETRY_MILLIS, millis));
  }
}
