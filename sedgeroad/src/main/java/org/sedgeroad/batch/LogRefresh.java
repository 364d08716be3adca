package org.sedgeroad.batch;

import java.util.List;
import org.sedgeroad.store.StoreResult;

/**
 * Reads chunks that the owner before a takeover stored after this instance had read the log. Used
 * on the event loop.
 *
 * <p>An owner that was frozen may wake up, store what it had finished and show it to clients. The
 * new owner would learn of such a chunk only when it appends one itself.
 */
final class LogRefresh {
  private final BatchParts parts;

  LogRefresh(BatchParts parts) {
    this.parts = parts;
  }

  /** Runs a task after new chunks of a job, if there are any, have been listed. */
  void refresh(OwnedJob job, Runnable task) {
    int known = job.chunks();
    parts
        .storeWorkers()
        .execute(
            () -> {
              StoreResult<List<List<JobResult>>> read =
                  parts.store().readChunks(job.head().id(), known);
              parts
                  .loop()
                  .execute(
                      () -> {
                        list(job, known, read);
                        task.run();
                      });
            });
  }

  private static void list(OwnedJob job, int known, StoreResult<List<List<JobResult>>> read) {
    // An append that began meanwhile finds the chunk by its conflict.
    boolean unchanged = job.chunks() == known && !job.isAppending();
    if (unchanged && read instanceof StoreResult.Done<List<List<JobResult>>> done) {
      done.value().forEach(job::addChunk);
    }
  }
}
