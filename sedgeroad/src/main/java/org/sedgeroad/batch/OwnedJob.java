package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/** Job that this instance owns and runs. Must be used on the event loop. */
final class OwnedJob {
  /** Pause after a chunk that was not stored, in milliseconds; each further one doubles it. */
  private static final long INITIAL_PAUSE_MILLIS = 100;

  private static final int MAXIMUM_DOUBLINGS = 10;

  private final JobHead head;
  private final Map<String, OwnedItem> items = new LinkedHashMap<>();
  private final List<JobResult> storedResults = new ArrayList<>();
  private final List<JobResult> unstoredResults = new ArrayList<>();
  private final List<Runnable> chunkWaiters = new ArrayList<>();
  private OptionalLong dueNanos = OptionalLong.empty();
  private int chunkCount;
  private long oldestUnstoredNanos;
  private boolean appending;
  private int maximumChunkResults;
  private int failedAppends;
  private long appendAllowedNanos;
  private boolean ended;
  private boolean loadedFromStore;
  private boolean ownerUncertain;
  private int contactEpoch;

  OwnedJob(JobHead head, List<ItemSpec> specs, long nowNanos) {
    this.head = head;
    this.ended = head.ended();
    for (ItemSpec spec : specs) {
      items.put(spec.id(), new OwnedItem(this, spec, nowNanos));
    }
    this.maximumChunkResults = items.size();
  }

  JobHead head() {
    return head;
  }

  /**
   * Returns the monotonic time by which the results are due, in nanoseconds, empty until the route
   * of the job is known.
   */
  OptionalLong dueNanos() {
    return dueNanos;
  }

  void setDueNanos(long nanos) {
    dueNanos = OptionalLong.of(nanos);
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

  /** Returns whether the job was loaded from the store, and not created by this process. */
  boolean isLoadedFromStore() {
    return loadedFromStore;
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

  /** Returns the largest number of results that the store is expected to take in one chunk. */
  int maximumChunkResults() {
    return maximumChunkResults;
  }

  /** Returns whether results may be appended now, as far as earlier failures are concerned. */
  boolean mayAppend(long nowNanos) {
    return failedAppends == 0 || nowNanos - appendAllowedNanos >= 0;
  }

  /**
   * Records that a chunk was not stored, for a reason that may be its size. The next one is half as
   * large, and follows after a pause that grows.
   *
   * @param chunk the chunk
   * @param maximumPauseMillis longest pause, in milliseconds
   * @param nowNanos monotonic time, in nanoseconds
   */
  void chunkNotStored(List<JobResult> chunk, long maximumPauseMillis, long nowNanos) {
    maximumChunkResults = Math.max(1, chunk.size() / 2);
    long pauseMillis = Math.min(maximumPauseMillis, INITIAL_PAUSE_MILLIS << failedAppends);
    appendAllowedNanos = nowNanos + pauseMillis * 1_000_000L;
    failedAppends = Math.min(failedAppends + 1, MAXIMUM_DOUBLINGS);
  }

  /** Gives up an unstored result that the store does not take; its item does not run again. */
  void giveUp(JobResult rejected, String reason) {
    unstoredResults.replaceAll(
        result -> result.equals(rejected) ? rejected.givenUp(reason) : result);
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
    failedAppends = 0;
    maximumChunkResults = Math.min(items.size(), 2 * maximumChunkResults);
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
