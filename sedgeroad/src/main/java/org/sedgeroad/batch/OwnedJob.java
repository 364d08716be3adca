package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Job that this instance owns and runs. Must be used on the event loop. */
final class OwnedJob {
  private final JobHead head;
  private final long dueNanos;
  private final Map<String, OwnedItem> items = new LinkedHashMap<>();
  private final List<JobResult> storedResults = new ArrayList<>();
  private final List<JobResult> unstoredResults = new ArrayList<>();
  private final List<Runnable> chunkWaiters = new ArrayList<>();
  private int chunkCount;
  private long oldestUnstoredNanos;
  private boolean appending;
  private boolean ended;
  private boolean loadedFromStore;
  private boolean ownerUncertain;
  private int contactEpoch;

  OwnedJob(JobHead head, List<ItemSpec> specs, long dueNanos, long nowNanos) {
    this.head = head;
    this.dueNanos = dueNanos;
    this.ended = head.ended();
    for (ItemSpec spec : specs) {
      items.put(spec.id(), new OwnedItem(this, spec, nowNanos));
    }
  }

  JobHead head() {
    return head;
  }

  long dueNanos() {
    return dueNanos;
  }

  Collection<OwnedItem> items() {
    return items.values();
  }

  OwnedItem item(String id) {
    return items.get(id);
  }

  boolean isEnded() {
    return ended;
  }

  void setEnded() {
    ended = true;
  }

  /**
   * Returns whether another instance may store results: a previous owner if the job was loaded from
   * the store, and not created by this process, or a new owner that this instance does not know.
   */
  boolean mayHaveOtherWriters() {
    return loadedFromStore || ownerUncertain;
  }

  void setLoadedFromStore() {
    loadedFromStore = true;
  }

  /** Sets whether another instance may have taken the job over. */
  void setOwnerUncertain(boolean uncertain) {
    ownerUncertain = uncertain;
  }

  /**
   * Returns the number that {@link org.sedgeroad.presence.FleetLoad#contactEpoch} had when the
   * owner of the job was last asked for.
   */
  int contactEpoch() {
    return contactEpoch;
  }

  void setContactEpoch(int epoch) {
    contactEpoch = epoch;
  }

  boolean isAppending() {
    return appending;
  }

  void setAppending(boolean next) {
    appending = next;
  }

  /** Returns the number of stored chunks, which is the number of the next chunk. */
  int chunkCount() {
    return chunkCount;
  }

  long oldestUnstoredNanos() {
    return oldestUnstoredNanos;
  }

  /** Returns a copy of the results that have not been stored yet. */
  List<JobResult> unstoredResults() {
    return List.copyOf(unstoredResults);
  }

  List<JobResult> storedResults() {
    return storedResults;
  }

  boolean isComplete() {
    return storedResults.size() >= items.size();
  }

  /** Records the result of an item. Clients can read the result once it has been stored. */
  void addUnstoredResult(OwnedItem item, JobResult result, long nowNanos) {
    item.setDone();
    if (unstoredResults.isEmpty()) {
      oldestUnstoredNanos = nowNanos;
    }
    unstoredResults.add(result);
  }

  /**
   * Adds a chunk that has been stored. Unstored results of the same items are discarded, because
   * the chunk already contains a result for each of them.
   */
  void addChunk(List<JobResult> chunk) {
    chunkCount++;
    Set<String> ids = new HashSet<>();
    for (JobResult result : chunk) {
      ids.add(result.id());
      storedResults.add(result);
      OwnedItem item = items.get(result.id());
      if (item != null) {
        item.setDone();
      }
    }
    unstoredResults.removeIf(result -> ids.contains(result.id()));
    List<Runnable> waiting = List.copyOf(chunkWaiters);
    chunkWaiters.clear();
    waiting.forEach(Runnable::run);
  }

  /** Runs a task once, when the next chunk is added. */
  void awaitChunk(Runnable task) {
    chunkWaiters.add(task);
  }

  /** Returns the sum of the tokens of unfinished items, 0 if the job has ended. */
  long waitingTokens() {
    if (ended) {
      return 0;
    }
    return items.values().stream()
        .filter(item -> !item.isDone())
        .mapToLong(item -> item.spec().tokens())
        .sum();
  }
}
