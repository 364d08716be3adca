package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sedgeroad.store.StoreResult;

/**
 * Reads the results of jobs from the store when their owner does not answer, and caches them.
 * Chunks never change, so a cached chunk is not read again. Must be used on the event loop.
 */
final class StoredResults {
  /** Number of jobs at which the cache is cleared. The results of one job take about 160 KB. */
  private static final int MAXIMUM_JOBS = 32;

  private final BatchDependencies dependencies;
  private final Map<String, List<List<JobResult>>> chunksByJob = new HashMap<>();

  StoredResults(BatchDependencies dependencies) {
    this.dependencies = dependencies;
  }

  void read(JobHead head, int after, Consumer<ReadResult> result) {
    List<List<JobResult>> cached = chunksByJob.getOrDefault(head.id(), List.of());
    if (isComplete(head)) {
      result.accept(page(head, cached, after));
      return;
    }
    dependencies
        .storeWorkers()
        .execute(
            () -> {
              StoreResult<List<List<JobResult>>> read =
                  dependencies.store().readChunks(head.id(), cached.size());
              dependencies.loop().execute(() -> received(head, after, cached, read, result));
            });
  }

  /** Reads the request body of an item. */
  void readBody(JobHead head, String item, Consumer<ReadResult> result) {
    dependencies
        .storeWorkers()
        .execute(
            () -> {
              StoreResult<List<ItemSpec>> read = dependencies.store().readItems(head);
              ReadResult answer = body(item, read);
              dependencies.loop().execute(() -> result.accept(answer));
            });
  }

  private static ReadResult body(String item, StoreResult<List<ItemSpec>> read) {
    if (!(read instanceof StoreResult.Done<List<ItemSpec>> done)) {
      return new ReadResult.Unavailable(read.getClass().getSimpleName());
    }
    return done.value().stream()
        .filter(spec -> spec.id().equals(item))
        .findFirst()
        .<ReadResult>map(ReadResult.Body::of)
        .orElse(new ReadResult.Absent());
  }

  /** Returns whether all results of a job are cached. */
  boolean isComplete(JobHead head) {
    int results = 0;
    for (List<JobResult> chunk : chunksByJob.getOrDefault(head.id(), List.of())) {
      results += chunk.size();
    }
    return results >= head.itemCount() && results > 0;
  }

  void remove(String job) {
    chunksByJob.remove(job);
  }

  private void received(
      JobHead head,
      int after,
      List<List<JobResult>> cached,
      StoreResult<List<List<JobResult>>> read,
      Consumer<ReadResult> result) {
    if (!(read instanceof StoreResult.Done<List<List<JobResult>>> done)) {
      result.accept(new ReadResult.Unavailable(read.toString()));
      return;
    }
    List<List<JobResult>> chunks = new ArrayList<>(cached);
    chunks.addAll(done.value());
    if (chunksByJob.size() >= MAXIMUM_JOBS) {
      chunksByJob.clear();
    }
    chunksByJob.merge(
        head.id(), chunks, (before, next) -> next.size() > before.size() ? next : before);
    result.accept(page(head, chunks, after));
  }

  private static ReadResult page(JobHead head, List<List<JobResult>> chunks, int after) {
    List<JobResult> storedResults = chunks.stream().flatMap(List::stream).toList();
    return new ReadResult.Page(ResultPage.of(head.itemCount(), storedResults, after));
  }
}
