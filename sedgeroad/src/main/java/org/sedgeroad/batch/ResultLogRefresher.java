package org.sedgeroad.batch;

import java.util.List;
import java.util.function.Consumer;
import org.sedgeroad.store.StoreResult;

/**
 * Reads result chunks that the previous owner of a job stored after this instance had read the
 * result log. Must be used on the event loop.
 *
 * <p>A previous owner that was frozen may resume, store its finished results and return them to
 * clients. Without this refresh, the new owner would find such a chunk only through the conflict
 * when it next appends a chunk itself.
 */
final class ResultLogRefresher {
  private final BatchDependencies dependencies;

  ResultLogRefresher(BatchDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /**
   * Reads new chunks of a job and adds them to the job.
   *
   * @param job the job
   * @param result receives whether the chunks could be read
   */
  void refresh(OwnedJob job, Consumer<Boolean> result) {
    int chunksBefore = job.chunkCount();
    dependencies
        .storeWorkers()
        .execute(
            () -> {
              StoreResult<List<List<JobResult>>> read =
                  dependencies.store().readChunks(job.head().id(), chunksBefore);
              dependencies
                  .loop()
                  .execute(
                      () -> {
                        addChunks(job, chunksBefore, read);
                        result.accept(read instanceof StoreResult.Done);
                      });
            });
  }

  private static void addChunks(
      OwnedJob job, int chunksBefore, StoreResult<List<List<JobResult>>> read) {
    // An append that started in the meantime gets a conflict and adds the chunk itself.
    boolean unchanged = job.chunkCount() == chunksBefore && !job.isAppending();
    if (unchanged && read instanceof StoreResult.Done<List<List<JobResult>>> done) {
      done.value().forEach(job::addChunk);
    }
  }
}
