package org.sedgeroad.batch;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sedgeroad.access.JobAccess;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;

/** Finds the heads of jobs, in the cache or in the store. Must be used on the event loop. */
final class JobHeadLookup implements HeadReader {
  private final BatchDependencies context;
  private final JobHeadCache jobHeads;
  private final PeerJobs peerJobs;
  private final Consumer<StoredObject> onRead;
  private final Consumer<String> onAbsent;

  /**
   * Creates a lookup.
   *
   * @param context dependencies
   * @param jobHeads known heads
   * @param peerJobs asks the instance that watches all heads
   * @param onRead receives each head that was read, and adds it to the cache
   * @param onAbsent receives the id of a known job that no longer exists
   */
  JobHeadLookup(
      BatchDependencies context,
      JobHeadCache jobHeads,
      PeerJobs peerJobs,
      Consumer<StoredObject> onRead,
      Consumer<String> onAbsent) {
    this.context = context;
    this.jobHeads = jobHeads;
    this.peerJobs = peerJobs;
    this.onRead = onRead;
    this.onAbsent = onAbsent;
  }

  /** Runs a task with the head of a job if the caller may see it. */
  static void ifVisible(
      JobHead head, JobAccess access, Consumer<ReadResult> result, Consumer<JobHead> task) {
    Optional<JobAccess.Denial> denial = access.denial(head.workspace());
    if (denial.isEmpty()) {
      task.accept(head);
    } else if (denial.get() == JobAccess.Denial.HIDDEN) {
      result.accept(new ReadResult.Absent());
    } else {
      result.accept(new ReadResult.Unavailable("the workspace of the caller is not known yet"));
    }
  }

  /** Runs a task with the head of a job, read as recently as needed, if the caller may see it. */
  void withVisibleHead(
      String id, JobAccess access, Consumer<ReadResult> result, Consumer<JobHead> task) {
    withHead(id, result, head -> ifVisible(head, access, result, task));
  }

  /**
   * Runs a task with the head of a job. If it is not cached, the instance that watches all heads is
   * asked. If that one does not know the job, the head is read from the store: first as it was some
   * seconds ago, because its owner is then known in most cases.
   */
  private void withHead(String id, Consumer<ReadResult> result, Consumer<JobHead> task) {
    Optional<JobHeadCache.CachedJob> cached = jobHeads.find(id);
    if (cached.isPresent()) {
      task.accept(cached.get().head());
      return;
    }
    peerJobs
        .head(id)
        .thenAccept(
            found ->
                context
                    .loop()
                    .execute(
                        () ->
                            found.ifPresentOrElse(
                                object -> received(object, result, task),
                                () -> readStale(id, result, task))));
  }

  private void readStale(String id, Consumer<ReadResult> result, Consumer<JobHead> task) {
    onWorker(
        () -> context.store().readStale(id),
        read -> {
          if (read instanceof StoreResult.Done<StoredObject> done) {
            received(done.value(), result, task);
          } else {
            read(id, result, task);
          }
        });
  }

  /** Runs a task with the head of a job as it is in the store now. */
  @Override
  public void read(String id, Consumer<ReadResult> result, Consumer<JobHead> task) {
    // A job that was not known may be accepted here while its head is read.
    boolean known = jobHeads.find(id).isPresent();
    onWorker(
        () -> context.store().read(id),
        read -> {
          if (read instanceof StoreResult.Done<StoredObject> done) {
            received(done.value(), result, task);
          } else if (read instanceof StoreResult.Absent) {
            if (known) {
              onAbsent.accept(id);
            }
            result.accept(new ReadResult.Absent());
          } else {
            result.accept(new ReadResult.Unavailable(read.toString()));
          }
        });
  }

  /** Calls the store on a thread that may block, and passes the result on to the event loop. */
  private void onWorker(
      Supplier<StoreResult<StoredObject>> call, Consumer<StoreResult<StoredObject>> next) {
    context
        .storeWorkers()
        .execute(
            () -> {
              StoreResult<StoredObject> read = call.get();
              context.loop().execute(() -> next.accept(read));
            });
  }

  private void received(StoredObject object, Consumer<ReadResult> result, Consumer<JobHead> task) {
    onRead.accept(object);
    Optional<JobHeadCache.CachedJob> newest = jobHeads.find(object.name());
    if (newest.isPresent()) {
      task.accept(newest.get().head());
    } else {
      result.accept(new ReadResult.Absent());
    }
  }
}
