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
import java.util.function.Predicate;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WriteOutcome;

/** Claims, commits and counts segments in the store. Calls block; thread-safe. */
final class SegmentStore {
  private static final int COUNT_TRIES = 50;

  private final ObjectMapper mapper = new ObjectMapper();
  private final StoreWriter writer;
  private final String holder;
  private final Predicate<String> leaseExpired;

  SegmentStore(StoreWriter writer, String holder, Predicate<String> leaseExpired) {
    this.writer = writer;
    this.holder = holder;
    this.leaseExpired = leaseExpired;
  }

  // -----------------------------------------------------------------------

  /** Claims a segment, or takes it over from a holder whose lease has expired. */
  ClaimResult claim(SegmentKey key) {
    StoreResult<StoredObject> found = writer.store().get(Kinds.JOBS, key.jobId());
    if (!(found instanceof StoreResult.Done<StoredObject> done)) {
      return new ClaimResult.Failed(found.toString());
    }
    Job job = Job.fromSpec(key.jobId(), done.value().spec());
    if (job.state() != JobState.ACCEPTED || job.isFinished(key.index())) {
      return new ClaimResult.Ended(job);
    }
    StoreResult<StoredObject> input =
        writer.store().get(Kinds.INPUTS, job.fileId() + "." + key.index());
    if (!(input instanceof StoreResult.Done<StoredObject> read)) {
      return new ClaimResult.Failed("input: " + input);
    }
    List<BatchItem> items = items(read.value());
    Segment claimed = Segment.claimed(key, holder, items.size());
    WriteOutcome outcome = writer.create(Kinds.SEGMENTS, key.toName(), claimed.toSpec());
    if (outcome instanceof WriteOutcome.Written written) {
      return new ClaimResult.Claimed(job, claimed, written.object().version(), items, false);
    }
    if (outcome instanceof WriteOutcome.Lost lost && lost.current() != null) {
      return takeOver(job, key, lost.current(), items);
    }
    return new ClaimResult.Failed(outcome.toString());
  }

  private ClaimResult takeOver(
      Job job, SegmentKey key, StoredObject current, List<BatchItem> items) {
    Segment segment = Segment.fromSpec(key, current.spec());
    if (segment.isFinished()) {
      return countFinished(segment) ? new ClaimResult.Ended(job) : new ClaimResult.Failed("count");
    }
    boolean released = segment.holder().isEmpty();
    if (!released && !leaseExpired.test(segment.holder())) {
      return new ClaimResult.HeldByOther(segment.holder());
    }
    // A started non-idempotent item may have run at the former holder: it is never sent again.
    List<ItemResult> unknown =
        items.stream()
            .filter(item -> segment.state(item.index()) == ItemState.STARTED)
            .map(
                item ->
                    ItemResult.ofError(
                        item,
                        ItemState.OUTCOME_UNKNOWN,
                        "the instance that sent this item was lost; it may have run"))
            .toList();
    Segment taken = segment.withHolder(holder);
    if (!unknown.isEmpty()) {
      String chunk = createChunk(key, unknown);
      if (chunk == null) {
        return new ClaimResult.Failed("result chunk not written");
      }
      taken = taken.withStates(states(unknown), chunk);
    }
    WriteOutcome outcome =
        writer.update(Kinds.SEGMENTS, key.toName(), current.version(), taken.toSpec());
    if (outcome instanceof WriteOutcome.Written written) {
      return new ClaimResult.Claimed(job, taken, written.object().version(), items, !released);
    }
    return new ClaimResult.Failed(outcome.toString());
  }

  // -----------------------------------------------------------------------

  /** Commits results; the segment must still have the given version. */
  CommitResult commit(Segment segment, long version, List<ItemResult> results) {
    StoreResult<StoredObject> found = writer.store().get(Kinds.JOBS, segment.key().jobId());
    if (!(found instanceof StoreResult.Done<StoredObject> done)) {
      return new CommitResult.Retry(found.toString());
    }
    Job job = Job.fromSpec(segment.key().jobId(), done.value().spec());
    if (job.state() == JobState.CANCELLED) {
      return new CommitResult.JobCancelled();
    }
    String chunk = null;
    if (!results.isEmpty()) {
      chunk = createChunk(segment.key(), results);
      if (chunk == null) {
        return new CommitResult.Retry("result chunk not written");
      }
    }
    return write(segment.withStates(states(results), chunk), version);
  }

  /** Marks non-idempotent items as started, before they are sent. */
  CommitResult markStarted(Segment segment, long version, List<BatchItem> items) {
    Map<Integer, ItemState> changes = new HashMap<>();
    items.forEach(item -> changes.put(item.index(), ItemState.STARTED));
    return write(segment.withStates(changes, null), version);
  }

  /** Ends the items of a cancelled job that have not ended. */
  CommitResult cancelRest(Segment segment, long version) {
    Segment ended =
        segment
            .withAll(ItemState.WAITING, ItemState.CANCELLED)
            .withAll(ItemState.STARTED, ItemState.OUTCOME_UNKNOWN);
    return write(ended, version);
  }

  /** Gives a segment back, so that another instance can claim it at once. */
  CommitResult release(Segment segment, long version) {
    return write(segment.withHolder(""), version);
  }

  /** Counts a finished segment in its job; returns whether it is counted. */
  boolean countFinished(Segment segment) {
    for (int attempt = 0; attempt < COUNT_TRIES; attempt++) {
      StoreResult<StoredObject> found = writer.store().get(Kinds.JOBS, segment.key().jobId());
      if (!(found instanceof StoreResult.Done<StoredObject> done)) {
        return false;
      }
      Job job = Job.fromSpec(segment.key().jobId(), done.value().spec());
      if (job.isFinished(segment.key().index())) {
        return true;
      }
      Job counted = job.withFinished(segment.key().index(), segment.counts(), Instant.now());
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

  // -----------------------------------------------------------------------

  private CommitResult write(Segment changed, long version) {
    WriteOutcome outcome =
        writer.update(Kinds.SEGMENTS, changed.key().toName(), version, changed.toSpec());
    if (outcome instanceof WriteOutcome.Written written) {
      return new CommitResult.Committed(changed, written.object().version());
    }
    return outcome instanceof WriteOutcome.Lost
        ? new CommitResult.SegmentLost()
        : new CommitResult.Retry(outcome.toString());
  }

  private static Map<Integer, ItemState> states(List<ItemResult> results) {
    Map<Integer, ItemState> states = new HashMap<>();
    results.forEach(result -> states.put(result.item(), result.state()));
    return states;
  }

  /** Creates a chunk that counts only once its segment names it; returns its name or null. */
  private String createChunk(SegmentKey key, List<ItemResult> results) {
    List<String> lines = new ArrayList<>();
    for (ItemResult result : results) {
      lines.add(result.toLine(key.toName() + "." + result.item()).toString());
    }
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    spec.put("lines", CompressedLines.compress(lines));
    String name = key.toName() + "." + java.util.UUID.randomUUID();
    WriteOutcome outcome = writer.create(Kinds.RESULTS, name, spec);
    return outcome instanceof WriteOutcome.Written ? name : null;
  }

  private List<BatchItem> items(StoredObject input) {
    List<BatchItem> items = new ArrayList<>();
    for (String line : CompressedLines.expand(input.spec().path("lines").asText())) {
      try {
        items.add(BatchItem.fromLine(items.size(), mapper.readTree(line)));
      } catch (IOException failure) {
        throw new UncheckedIOException(failure);
      }
    }
    return items;
  }
}
