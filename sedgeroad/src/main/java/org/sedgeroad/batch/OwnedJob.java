package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A job that this instance runs. Used on the event loop. */
final class OwnedJob {
  private final JobHead head;
  private final long dueNanos;
  private final Map<String, OwnedItem> items = new LinkedHashMap<>();
  private final List<JobResult> listed = new ArrayList<>();
  private final List<JobResult> finished = new ArrayList<>();
  private final List<Runnable> readers = new ArrayList<>();
  private int chunks;
  private long oldestFinishedNanos;
  private boolean appending;
  private boolean ended;
  private boolean takenOver;

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

  /** Returns whether another instance ran the job before, which may still store results. */
  boolean isTakenOver() {
    return takenOver;
  }

  void setTakenOver() {
    takenOver = true;
  }

  boolean isAppending() {
    return appending;
  }

  void setAppending(boolean next) {
    appending = next;
  }

  /** Returns the number of the next chunk of results. */
  int chunks() {
    return chunks;
  }

  long oldestFinishedNanos() {
    return oldestFinishedNanos;
  }

  /** Returns the results that are not in the store yet. */
  List<JobResult> finished() {
    return List.copyOf(finished);
  }

  List<JobResult> listed() {
    return listed;
  }

  boolean isWhole() {
    return listed.size() >= items.size();
  }

  /** Notes that an item has ended; the result is listed once it is in the store. */
  void addFinished(OwnedItem item, JobResult result, long nowNanos) {
    item.setDone();
    if (finished.isEmpty()) {
      oldestFinishedNanos = nowNanos;
    }
    finished.add(result);
  }

  /** Lists a chunk that is in the store; results of its items that are not are dropped. */
  void addChunk(List<JobResult> chunk) {
    chunks++;
    Set<String> ids = new HashSet<>();
    for (JobResult result : chunk) {
      ids.add(result.id());
      listed.add(result);
      OwnedItem item = items.get(result.id());
      if (item != null) {
        item.setDone();
      }
    }
    finished.removeIf(result -> ids.contains(result.id()));
    List<Runnable> waiting = List.copyOf(readers);
    readers.clear();
    waiting.forEach(Runnable::run);
  }

  /** Runs a task once the next chunk is listed. */
  void awaitChunk(Runnable task) {
    readers.add(task);
  }

  /** Returns the tokens of the items that have not ended. */
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
