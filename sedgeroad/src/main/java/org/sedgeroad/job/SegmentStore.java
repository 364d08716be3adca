package org.sedgeroad.job;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.Predicate;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.ObjectList;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WriteOutcome;

/**
 * Claims segments, commits their results and adds their counts to the job, all in the store.
 *
 * <p>All methods block on store calls. Thread-safe.
 */
final class SegmentStore {
  /** Maximum attempts in one call of {@link #countFinished}; callers pause before the next call. */
  private static final int MAX_COUNT_ATTEMPTS = 5;

  private static final String INSTANCE_LOST_MESSAGE =
      "the instance that sent this item was lost; it may have run";
  private static final String CANCELLED_MESSAGE =
      "the job was cancelled while this item was in flight; it may have run";

  private final ObjectMapper mapper = new ObjectMapper();
  private final StoreWriter writer;
  private final String holder;
  private final Predicate<String> leaseExpired;

  SegmentStore(StoreWriter writer, Predicate<String> leaseExpired) {
    this.writer = writer;
    this.holder = writer.name();
    this.leaseExpired = leaseExpired;
  }

  /** Claims a segment, or takes it over if it was released or its holder's lease has expired. */
  ClaimResult claim(SegmentKey key) {
    StoreResult<StoredObject> found = writer.store().get(Kinds.JOBS, key.jobId());
    if (!(found instanceof StoreResult.Done<StoredObject> done)) {
      return new ClaimResult.Failed(found.toString());
    }
    Job job = Job.fromSpec(key.jobId(), done.value().spec());
    if (job.state() != JobState.ACCEPTED || job.isFinished(key.index())) {
      return new ClaimResult.Ended(job);
    }
    StoreResult<StoredObject> current = writer.store().get(Kinds.SEGMENTS, key.toName());
    if (current instanceof StoreResult.Done<StoredObject> existing) {
      return takeOver(job, key, existing.value());
    }
    return current instanceof StoreResult.Absent
        ? create(job, key)
        : new ClaimResult.Failed(current.toString());
  }

  /**
   * Returns the unfinished segments of the given jobs that a holder has claimed, or null if a store
   * call failed.
   */
  List<SegmentKey> unfinishedSegmentsOf(String otherHolder, List<String> jobIds) {
    List<SegmentKey> keys = new ArrayList<>();
    for (String jobId : jobIds) {
      StoreResult<ObjectList> listed = writer.store().list(Kinds.SEGMENTS, jobId + ".");
      if (!(listed instanceof StoreResult.Done<ObjectList> done)) {
        return null;
      }
      for (StoredObject object : done.value().objects()) {
        int index = Integer.parseInt(object.name().substring(jobId.length() + 1));
        Segment segment = Segment.fromSpec(new SegmentKey(jobId, index), object.spec());
        if (segment.holder().equals(otherHolder) && !segment.isFinished()) {
          keys.add(segment.key());
        }
      }
    }
    return keys;
  }

  private ClaimResult create(Job job, SegmentKey key) {
    List<BatchItem> items = readItems(job, key);
    if (items == null) {
      return new ClaimResult.Failed("input not readable");
    }
    Segment claimed = Segment.claimed(key, holder, items.size());
    WriteOutcome outcome = writer.create(Kinds.SEGMENTS, key.toName(), claimed.toSpec());
    if (outcome instanceof WriteOutcome.Written written) {
      return new ClaimResult.Claimed(job, claimed, written.object().version(), items, false);
    }
    return outcome instanceof WriteOutcome.Lost lost && lost.current() != null
        ? takeOver(job, key, lost.current())
        : new ClaimResult.Failed(outcome.toString());
  }

  private ClaimResult takeOver(Job job, SegmentKey key, StoredObject current) {
    Segment segment = Segment.fromSpec(key, current.spec());
    if (segment.isFinished()) {
      return countFinished(segment)
          ? new ClaimResult.Ended(job)
          : new ClaimResult.Failed("finished segment was not counted in its job");
    }
    if (!isClaimable(segment)) {
      return new ClaimResult.HeldByOther(segment.holder());
    }
    List<BatchItem> items = readItems(job, key);
    if (items == null) {
      return new ClaimResult.Failed("input not readable");
    }
    // A started non-idempotent item may have been sent by the previous holder, so it is never sent
    // again and ends with an unknown outcome.
    List<ItemResult> unknown = startedAsUnknown(segment, items, INSTANCE_LOST_MESSAGE);
    Segment taken = segment.withHolder(holder);
    if (!unknown.isEmpty()) {
      ChunkResult chunk = createChunk(key, unknown);
      if (chunk.name() == null) {
        return new ClaimResult.Failed(chunk.reason());
      }
      taken = taken.withStates(statesByIndex(unknown), chunk.name());
    }
    WriteOutcome outcome =
        writer.update(Kinds.SEGMENTS, key.toName(), current.version(), taken.toSpec());
    boolean fromLostHolder = !segment.holder().isEmpty() && !segment.holder().equals(holder);
    return outcome instanceof WriteOutcome.Written written
        ? new ClaimResult.Claimed(job, taken, written.object().version(), items, fromLostHolder)
        : new ClaimResult.Failed(outcome.toString());
  }

  /**
   * Returns whether this instance may claim a segment. A segment that already names this holder is
   * claimable, because this instance has stopped working on it.
   */
  private boolean isClaimable(Segment segment) {
    return segment.holder().isEmpty()
        || segment.holder().equals(holder)
        || leaseExpired.test(segment.holder());
  }

  /** Commits results, provided that the stored segment still has the given version. */
  CommitResult commit(Segment segment, long version, List<ItemResult> results) {
    CommitResult rejection = checkJob(segment.key());
    if (rejection != null) {
      return rejection;
    }
    ChunkResult chunk = createChunk(segment.key(), results);
    return chunk.name() == null
        ? new CommitResult.Retry(chunk.reason())
        : write(segment.withStates(statesByIndex(results), chunk.name()), version);
  }

  /** Marks non-idempotent items as started; this must succeed before they are sent. */
  CommitResult markStarted(Segment segment, long version, List<BatchItem> items) {
    CommitResult rejection = checkJob(segment.key());
    return rejection == null
        ? write(segment.withStates(statesByIndex(items, ItemState.STARTED), null), version)
        : rejection;
  }

  /**
   * Ends all open items in a segment of a cancelled job. Waiting items become cancelled; the
   * outcome of started non-idempotent items is unknown.
   */
  CommitResult cancelOpenItems(Segment segment, long version, List<BatchItem> items) {
    List<ItemResult> unknown = startedAsUnknown(segment, items, CANCELLED_MESSAGE);
    Segment ended = segment.withStateReplaced(ItemState.WAITING, ItemState.CANCELLED);
    if (!unknown.isEmpty()) {
      ChunkResult chunk = createChunk(segment.key(), unknown);
      if (chunk.name() == null) {
        return new CommitResult.Retry(chunk.reason());
      }
      ended = ended.withStates(statesByIndex(unknown), chunk.name());
    }
    return write(ended, version);
  }

  /**
   * Releases a segment, so that another instance can claim it at once.
   *
   * @param notRun items that are marked as started but have not run; they wait again
   */
  CommitResult release(Segment segment, long version, List<BatchItem> notRun) {
    Segment free =
        segment.withStates(statesByIndex(notRun, ItemState.WAITING), null).withHolder("");
    CommitResult result = write(free, version);
    return result instanceof CommitResult.Committed || result instanceof CommitResult.SegmentLost
        ? new CommitResult.Released()
        : result;
  }

  /** Reads a segment again after a write with an unknown outcome. */
  CommitResult reload(SegmentKey key) {
    StoreResult<StoredObject> found = writer.store().get(Kinds.SEGMENTS, key.toName());
    if (found instanceof StoreResult.Done<StoredObject> done) {
      return committedIfHeld(key, done.value());
    }
    return found instanceof StoreResult.Absent
        ? new CommitResult.SegmentLost()
        : new CommitResult.Uncertain(found.toString());
  }

  /**
   * Returns null if the job exists and is not cancelled, otherwise the result with which the
   * operation on the segment ends.
   */
  private CommitResult checkJob(SegmentKey key) {
    StoreResult<StoredObject> found = writer.store().get(Kinds.JOBS, key.jobId());
    if (found instanceof StoreResult.Absent) {
      return new CommitResult.SegmentLost();
    }
    if (!(found instanceof StoreResult.Done<StoredObject> done)) {
      return new CommitResult.Retry(found.toString());
    }
    Job job = Job.fromSpec(key.jobId(), done.value().spec());
    return job.state() == JobState.CANCELLED ? new CommitResult.JobCancelled() : null;
  }

  private CommitResult write(Segment changed, long version) {
    SegmentKey key = changed.key();
    WriteOutcome outcome = writer.update(Kinds.SEGMENTS, key.toName(), version, changed.toSpec());
    if (outcome instanceof WriteOutcome.Written written) {
      return new CommitResult.Committed(changed, written.object().version());
    }
    if (outcome instanceof WriteOutcome.Lost lost) {
      return lost.current() == null
          ? new CommitResult.SegmentLost()
          : committedIfHeld(key, lost.current());
    }
    return outcome instanceof WriteOutcome.Unknown
        ? new CommitResult.Uncertain(outcome.toString())
        : new CommitResult.Retry(outcome.toString());
  }

  private CommitResult committedIfHeld(SegmentKey key, StoredObject stored) {
    Segment segment = Segment.fromSpec(key, stored.spec());
    return segment.holder().equals(holder)
        ? new CommitResult.Committed(segment, stored.version())
        : new CommitResult.SegmentLost();
  }

  /**
   * Adds the counts of a finished segment to its job. Returns true if the job includes them now or
   * no longer exists.
   */
  boolean countFinished(Segment segment) {
    int index = segment.key().index();
    for (int attempt = 0; attempt < MAX_COUNT_ATTEMPTS; attempt++) {
      StoreResult<StoredObject> found = writer.store().get(Kinds.JOBS, segment.key().jobId());
      if (!(found instanceof StoreResult.Done<StoredObject> done)) {
        return found instanceof StoreResult.Absent;
      }
      Job job = Job.fromSpec(segment.key().jobId(), done.value().spec());
      if (job.isFinished(index)) {
        return true;
      }
      Job counted = job.withFinished(index, segment.counts(), Instant.now());
      WriteOutcome outcome =
          writer.update(Kinds.JOBS, job.id(), done.value().version(), counted.toSpec());
      if (outcome instanceof WriteOutcome.Written) {
        return true;
      }
      if (!(outcome instanceof WriteOutcome.Lost)) {
        return false;
      }
    }
    return false;
  }

  /**
   * Adds the counts of all segments to a cancelled job in one update, once no holder works on any
   * of them. Segments without a live holder are ended first; items of segments that were never
   * claimed count as cancelled.
   *
   * @return whether nothing is left to count for this job
   */
  boolean countCancelledJob(String jobId) {
    StoreResult<StoredObject> found = writer.store().get(Kinds.JOBS, jobId);
    if (!(found instanceof StoreResult.Done<StoredObject> done)) {
      return found instanceof StoreResult.Absent;
    }
    Job job = Job.fromSpec(jobId, done.value().spec());
    if (job.state() != JobState.CANCELLED || job.isCounted()) {
      return true;
    }
    StoreResult<ObjectList> listed = writer.store().list(Kinds.SEGMENTS, jobId + ".");
    if (!(listed instanceof StoreResult.Done<ObjectList> objects)) {
      return false;
    }
    ItemCounts counts = ItemCounts.ZERO;
    boolean allEnded = true;
    for (StoredObject object : objects.value().objects()) {
      int index = Integer.parseInt(object.name().substring(jobId.length() + 1));
      Segment segment = Segment.fromSpec(new SegmentKey(jobId, index), object.spec());
      Segment ended = segment.isFinished() ? segment : endUnheld(job, segment, object.version());
      allEnded &= ended != null;
      counts = ended == null ? counts : counts.plus(ended.counts());
    }
    return allEnded
        && writer.update(
                Kinds.JOBS, jobId, done.value().version(), job.withAllCounted(counts).toSpec())
            instanceof WriteOutcome.Written;
  }

  /** Ends the open items of a segment; returns null if it is held or a store call failed. */
  private Segment endUnheld(Job job, Segment segment, long version) {
    if (!isClaimable(segment)) {
      return null;
    }
    List<BatchItem> items = readItems(job, segment.key());
    return items != null
            && cancelOpenItems(segment.withHolder(holder), version, items)
                instanceof CommitResult.Committed committed
            && committed.segment().isFinished()
        ? committed.segment()
        : null;
  }

  private static Map<Integer, ItemState> statesByIndex(List<ItemResult> results) {
    Map<Integer, ItemState> states = new HashMap<>();
    results.forEach(result -> states.put(result.item(), result.state()));
    return states;
  }

  private static Map<Integer, ItemState> statesByIndex(List<BatchItem> items, ItemState state) {
    Map<Integer, ItemState> states = new HashMap<>();
    items.forEach(item -> states.put(item.index(), state));
    return states;
  }

  private static List<ItemResult> startedAsUnknown(
      Segment segment, List<BatchItem> items, String message) {
    return items.stream()
        .filter(item -> segment.state(item.index()) == ItemState.STARTED)
        .map(item -> ItemResult.ofError(item, ItemState.OUTCOME_UNKNOWN, message))
        .toList();
  }

  /** Writes a result chunk. Its results are committed only when the segment lists the chunk. */
  private ChunkResult createChunk(SegmentKey key, List<ItemResult> results) {
    List<String> lines = new ArrayList<>();
    for (ItemResult result : results) {
      lines.add(result.toLine(key.toName() + "." + result.item()).toString());
    }
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    spec.put("lines", CompressedLines.compress(lines));
    String name = key.toName() + "." + UUID.randomUUID();
    WriteOutcome outcome = writer.create(Kinds.RESULTS, name, spec);
    return outcome instanceof WriteOutcome.Written
        ? new ChunkResult(name, "")
        : new ChunkResult(null, "result chunk: " + outcome);
  }

  private List<BatchItem> readItems(Job job, SegmentKey key) {
    StoreResult<StoredObject> input =
        writer.store().get(Kinds.INPUTS, job.fileId() + "." + key.index());
    if (!(input instanceof StoreResult.Done<StoredObject> done)) {
      return null;
    }
    List<BatchItem> items = new ArrayList<>();
    for (String line : CompressedLines.expand(done.value().spec().path("lines").asText())) {
      try {
        items.add(BatchItem.fromLine(items.size(), mapper.readTree(line)));
      } catch (IOException failure) {
        throw new UncheckedIOException(failure);
      }
    }
    return items;
  }

  /** Holds the name of a written chunk, or null and the reason why it was not written. */
  private record ChunkResult(String name, String reason) {}
}
