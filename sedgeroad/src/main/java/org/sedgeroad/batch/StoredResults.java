package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sedgeroad.store.StoreResult;

/**
 * Results of jobs whose owner does not answer, read from the store. Chunks never change, so that
 * each is read once. Used on the event loop.
 */
final class StoredResults {
  /** Jobs whose results are kept in memory; one has about 160 KB. */
  private static final int MOST_JOBS = 32;

  private final BatchParts parts;
  private final Map<String, List<List<JobResult>>> chunksByJob = new HashMap<>();

  StoredResults(BatchParts parts) {
    this.parts = parts;
  }

  void read(JobHead head, int after, Consumer<ReadResult> result) {
    List<List<JobResult>> known = chunksByJob.getOrDefault(head.id(), List.of());
    if (isWhole(head)) {
      result.accept(page(head, known, after));
      return;
    }
    parts
        .storeWorkers()
        .execute(
            () -> {
              StoreResult<List<List<JobResult>>> read =
                  parts.store().readChunks(head.id(), known.size());
              parts.loop().execute(() -> received(head, after, known, read, result));
            });
  }

  /** Returns whether all results of a job are known here. */
  boolean isWhole(JobHead head) {
    int results = 0;
    for (List<JobResult> chunk : chunksByJob.getOrDefault(head.id(), List.of())) {
      results += chunk.size();
    }
    return results >= head.itemCount() && results > 0;
  }

  void forget(String job) {
    chunksByJob.remove(job);
  }

  private void received(
      JobHead head,
      int after,
      List<List<JobResult>> known,
      StoreResult<List<List<JobResult>>> read,
      Consumer<ReadResult> result) {
    if (!(read instanceof StoreResult.Done<List<List<JobResult>>> done)) {
      result.accept(new ReadResult.Unsure(read.toString()));
      return;
    }
    List<List<JobResult>> chunks = new ArrayList<>(known);
    chunks.addAll(done.value());
    if (chunksByJob.size() >= MOST_JOBS) {
      chunksByJob.clear();
    }
    chunksByJob.merge(
        head.id(), chunks, (before, next) -> next.size() > before.size() ? next : before);
    result.accept(page(head, chunks, after));
  }

  private static ReadResult page(JobHead head, List<List<JobResult>> chunks, int after) {
    List<JobResult> listed = chunks.stream().flatMap(List::stream).toList();
    return new ReadResult.Page(ResultPage.of(head.itemCount(), listed, after));
  }
}
