package org.sedgeroad.batch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.peer.RendezvousHashing;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WriteOutcome;

/**
 * The unfinished jobs whose owner is considered failed: takes them over, and counts their tokens
 * until then. For each job, one of the instances that watch all jobs is responsible. Must be used
 * on the event loop.
 */
final class OrphanedJobs {
  /**
   * Time after the start during which no job is taken over, in milliseconds. The first load reports
   * of all other instances arrive within this time.
   */
  private static final long TAKEOVER_DELAY_MILLIS = 5_000;

  /** Delay between two takeover attempts of a job, in milliseconds. Store outages last seconds. */
  private static final long TAKEOVER_RETRY_MILLIS = 1_000;

  /**
   * Time for which a job stays with an instance that has taken it over, in milliseconds; longer
   * than most items run. Instances that do not hear each other would otherwise take a job from each
   * other before any of its items is done.
   */
  private static final long OWNERSHIP_MILLIS = 8_000;

  private final BatchDependencies context;
  private final JobRoutes routes;
  private final JobHeadCache jobHeads;
  private final StoredResults storedResults;
  private final PeerQuestions questions;
  private final Consumer<StoredObject> changeListener;
  private final Set<String> takingOver = new HashSet<>();
  private final Map<String, Long> tokens = new HashMap<>();
  private final long takeoversAllowedFromNanos;
  private boolean isolated;

  /**
   * Creates the set of orphaned jobs.
   *
   * @param context dependencies
   * @param routes routes of jobs
   * @param jobHeads known job heads
   * @param storedResults cached results of jobs of other instances
   * @param questions sends questions and notifications to other instances
   * @param changeListener receives heads that were written or found changed
   */
  OrphanedJobs(
      BatchDependencies context,
      JobRoutes routes,
      JobHeadCache jobHeads,
      StoredResults storedResults,
      PeerQuestions questions,
      Consumer<StoredObject> changeListener) {
    this.context = context;
    this.routes = routes;
    this.jobHeads = jobHeads;
    this.storedResults = storedResults;
    this.questions = questions;
    this.changeListener = changeListener;
    this.takeoversAllowedFromNanos = context.clock().deadlineAfterMillis(TAKEOVER_DELAY_MILLIS);
  }

  /** Returns the tokens of the orphaned jobs that this instance is responsible for, by route. */
  Map<String, Long> tokens() {
    return tokens;
  }

  /**
   * Counts the tokens of the orphaned jobs that this instance is responsible for. Called several
   * times a second.
   *
   * @param watchers names of the live instances that watch all jobs
   */
  void countTokens(Collection<String> watchers) {
    long now = context.clock().nanos();
    tokens.clear();
    if (!watchers.contains(context.instance())) {
      return;
    }
    List<String> live = context.fleetLoad().liveInstances(now);
    for (JobHeadCache.CachedJob job : jobHeads.all()) {
      JobHead head = job.head();
      boolean reported = head.owner().equals(context.instance()) || live.contains(head.owner());
      if (!reported
          && !head.ended()
          && !storedResults.isComplete(head)
          && RendezvousHashing.ranksFirst(head.id(), context.instance(), watchers)) {
        tokens.merge(routes.limitName(head), head.tokens(), Long::sum);
      }
    }
  }

  /**
   * Takes over jobs whose owner is considered failed. Called several times a second while this
   * instance watches all jobs.
   *
   * @param watchers names of the live instances that watch all jobs; for each orphaned job, one of
   *     them is responsible
   */
  void takeOver(Collection<String> watchers) {
    long now = context.clock().nanos();
    updateIsolation(context.fleetLoad().isIsolated(now));
    if (now - takeoversAllowedFromNanos < 0 || isolated) {
      return;
    }
    for (JobHeadCache.CachedJob job : jobHeads.all()) {
      if (!job.head().ended()
          && hasLostOwner(job, now)
          && !storedResults.isComplete(job.head())
          && !takingOver.contains(job.head().id())
          && RendezvousHashing.ranksFirst(job.head().id(), context.instance(), watchers)) {
        write(job);
      }
    }
  }

  private void updateIsolation(boolean next) {
    if (next != isolated) {
      isolated = next;
      context.log().log(
          LogEvent.TAKEOVERS_SUSPENDED, EventField.of("suspended", Boolean.toString(next)));
    }
  }

  private boolean hasLostOwner(JobHeadCache.CachedJob job, long nowNanos) {
    String owner = job.head().owner();
    if (owner.equals(context.instance())) {
      return false;
    }
    boolean takenOverRecently =
        job.hasMoved() && nowNanos - job.ownerSeenNanos() < OWNERSHIP_MILLIS * 1_000_000L;
    return context.fleetLoad().isLeaving(owner)
        || (context.fleetLoad().isFailed(owner, nowNanos) && !takenOverRecently);
  }

  private void write(JobHeadCache.CachedJob job) {
    takingOver.add(job.head().id());
    context
        .storeWorkers()
        .execute(
            () -> {
              WriteOutcome outcome =
                  context.store().takeOver(job.head(), job.version(), context.instance());
              context.loop().execute(() -> takenOver(job, outcome));
            });
  }

  private void takenOver(JobHeadCache.CachedJob job, WriteOutcome outcome) {
    context.log().log(
        LogEvent.SEGMENT_TAKEN_OVER,
        EventField.of("job", job.head().id()),
        EventField.of("from", job.head().owner()),
        EventField.of("version", job.version()),
        EventField.of("outcome", outcome.getClass().getSimpleName()));
    if (outcome instanceof WriteOutcome.Written written) {
      changeListener.accept(written.object());
      questions.notifyHeadChanged(job.head().owner(), job.head().id());
    } else if (outcome instanceof WriteOutcome.Lost lost && lost.current() != null) {
      changeListener.accept(lost.current());
    }
    // The job may need another takeover later, whatever the outcome, but not immediately.
    context
        .loop()
        .scheduleAt(
            context.clock().deadlineAfterMillis(TAKEOVER_RETRY_MILLIS),
            () -> takingOver.remove(job.head().id()));
  }
}
