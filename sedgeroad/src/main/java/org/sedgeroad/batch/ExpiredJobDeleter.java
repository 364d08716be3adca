package org.sedgeroad.batch;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.peer.RendezvousHashing;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;

/** Deletes finished jobs after their retention time. Must be used on the event loop. */
final class ExpiredJobDeleter {
  /**
   * Delay before a job that could not be deleted is tried again, in milliseconds. It is similar to
   * the retry delay of list calls to the store.
   */
  private static final long STORE_RETRY_MILLIS = 500;

  private final BatchDependencies context;
  private final OwnedJobRunner runner;
  private final JobHeadCache jobHeads;
  private final StoredResults storedResults;
  private final Consumer<String> forget;
  private boolean deleting;

  /**
   * Creates a deleter.
   *
   * @param context dependencies
   * @param runner runs the jobs of this instance
   * @param jobHeads known job heads
   * @param storedResults cached results of jobs of other instances
   * @param forget removes all that is kept of a job in memory
   */
  ExpiredJobDeleter(
      BatchDependencies context,
      OwnedJobRunner runner,
      JobHeadCache jobHeads,
      StoredResults storedResults,
      Consumer<String> forget) {
    this.context = context;
    this.runner = runner;
    this.jobHeads = jobHeads;
    this.storedResults = storedResults;
    this.forget = forget;
  }

  /**
   * Deletes one finished job whose retention time has passed, and forgets the heads of expired jobs
   * of other instances unless this instance watches all jobs. Called several times a second.
   *
   * @param watchers names of the live instances that watch all jobs
   */
  void deleteExpiredJob(Collection<String> watchers) {
    long now = context.clock().nanos();
    boolean watching = watchers.contains(context.instance());
    if (!watching) {
      jobHeads.all().stream()
          .filter(job -> isExpired(job, now) && !job.head().owner().equals(context.instance()))
          .forEach(job -> forget.accept(job.head().id()));
    }
    if (!deleting && !context.fleetLoad().isIsolated(now)) {
      List<String> liveInstances = context.fleetLoad().liveInstances(now);
      jobHeads.all().stream()
          .filter(job -> isExpired(job, now) && mayDelete(job.head(), liveInstances, watchers))
          .findFirst()
          .ifPresent(this::delete);
    }
  }

  boolean isExpired(JobHeadCache.CachedJob job, long nowNanos) {
    return nowNanos - job.firstSeenNanos() > context.keepJobMillis() * 1_000_000L;
  }

  /** Returns whether a job is finished and this instance is responsible for deleting it. */
  private boolean mayDelete(JobHead head, List<String> liveInstances, Collection<String> watchers) {
    if (head.owner().equals(context.instance())) {
      return runner.job(head.id()).map(job -> job.isComplete() || job.isEnded()).orElse(false);
    }
    return !liveInstances.contains(head.owner())
        && (head.ended() || storedResults.isComplete(head))
        && watchers.contains(context.instance())
        && RendezvousHashing.ranksFirst(head.id(), context.instance(), watchers);
  }

  private void delete(JobHeadCache.CachedJob job) {
    deleting = true;
    JobHead head = job.head();
    context
        .storeWorkers()
        .execute(
            () -> {
              StoreResult<StoredObject> outcome =
                  context.store().delete(head.id(), head.itemObjects());
              context.loop().execute(() -> deleted(head.id(), outcome));
            });
  }

  private void deleted(String id, StoreResult<StoredObject> outcome) {
    if (JobStore.isDeleted(outcome)) {
      deleting = false;
      forget.accept(id);
      context.log().log(LogEvent.JOB_DELETED, EventField.of("job", id));
    } else {
      context.log().log(
          LogEvent.STORE_UNAVAILABLE, EventField.of("job", id), EventField.of("deletion", outcome));
      context
          .loop()
          .scheduleAt(
              context.clock().deadlineAfterMillis(STORE_RETRY_MILLIS), () -> deleting = false);
    }
  }
}
