package org.sedgeroad.batch;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.sedgeroad.access.JobAccess;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.gateway.Route;
import org.sedgeroad.store.KindWatcher;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WriteOutcome;

/**
 * Accepts jobs, reads and ends any job, takes over jobs whose owner is considered failed, and
 * deletes expired jobs. Must be used on the event loop, which also runs the callbacks.
 */
public final class OwnedJobService implements KindWatcher.Listener {
  /**
   * Interval at which a read polls for a job that is being loaded, in milliseconds. It is a
   * twentieth of the maximum wait of a read.
   */
  private static final long LOAD_POLL_MILLIS = 50;

  /** Number of jobs that have ended before their start at which they are forgotten. */
  private static final int MAXIMUM_ENDED_JOBS = 1_000;

  /**
   * Delay before a job that could not be loaded is tried again, in milliseconds. It is similar to
   * the retry delay of list calls to the store.
   */
  private static final long STORE_RETRY_MILLIS = 500;

  /** Tokens of a job that is being accepted here, and the limit that they count against. */
  private record PendingTokens(String limitName, long tokens) {}

  private final BatchDependencies context;
  private final OwnedJobRunner runner;
  private final PeerJobs peerJobs;
  private final JobHeadCache jobHeads = new JobHeadCache();
  private final JobHeadLookup heads;
  private final StoredResults storedResults;
  private final OwnedJobReads ownedReads;
  private final OwnershipCheck ownershipCheck;
  private final Map<String, List<Consumer<AcceptResult>>> pendingCallbacks = new HashMap<>();
  private final Map<String, PendingTokens> pendingTokens = new HashMap<>();
  private final Set<String> loading = new HashSet<>();

  /** Ids of jobs that have ended while they were being loaded or accepted here. */
  private final Set<String> endedBeforeStart = new HashSet<>();

  private final PeerQuestions questions;
  private final RepeatedSubmissions repeated;
  private final OrphanedJobs orphans;
  private final ExpiredJobDeleter deleter;

  /** Creates a service. */
  public OwnedJobService(BatchDependencies context, OwnedJobRunner runner, PeerJobs peerJobs) {
    this.context = context;
    this.runner = runner;
    this.peerJobs = peerJobs;
    this.heads = new JobHeadLookup(context, jobHeads, peerJobs, this::changed, this::remove);
    this.storedResults = new StoredResults(context);
    this.ownedReads = new OwnedJobReads(context);
    this.ownershipCheck = new OwnershipCheck(context, runner, jobHeads, heads);
    runner.setConflictListener(this::readHeadAgain);
    this.repeated = new RepeatedSubmissions(context, jobHeads, heads);
    this.questions = new PeerQuestions(context, peerJobs, heads);
    this.orphans =
        new OrphanedJobs(
            context, runner.routes(), jobHeads, storedResults, questions, this::changed);
    this.deleter = new ExpiredJobDeleter(context, runner, jobHeads, storedResults, this::remove);
  }

  /**
   * Accepts a job. An id that was accepted before creates no second job.
   *
   * @param route batch route of the job in the current configuration, not null
   * @param submission the job, not null
   * @param result receives the outcome
   */
  public void submit(Route route, JobSubmission submission, Consumer<AcceptResult> result) {
    String id = submission.id();
    Optional<JobHeadCache.CachedJob> cached = jobHeads.find(id);
    if (cached.isPresent()) {
      JobHead head = cached.get().head();
      result.accept(
          visibleTo(submission, new AcceptResult.Accepted(head, cached.get().version(), false)));
      return;
    }
    List<Consumer<AcceptResult>> waitingCallbacks = pendingCallbacks.get(id);
    if (waitingCallbacks != null) {
      waitingCallbacks.add(result);
      return;
    }
    long limit = route.batch().maximumWaitingTokens();
    String limitName = JobRoutes.limitName(route.name(), submission.workspace());
    long waiting = waitingTokens(limitName);
    if (limit > 0 && waiting + submission.tokens() > limit) {
      repeated.answerOverLimit(submission, waiting, limit, result);
      return;
    }
    pendingCallbacks.put(id, new ArrayList<>(List.of(result)));
    pendingTokens.put(id, new PendingTokens(limitName, submission.tokens()));
    JobHead draft =
        new JobHead(
            id,
            submission.host(),
            submission.path(),
            System.currentTimeMillis(),
            submission.items().size(),
            0,
            submission.tokens(),
            context.instance(),
            route.name(),
            context.routes().current().version(),
            submission.workspace(),
            false);
    context
        .storeWorkers()
        .execute(
            () -> {
              AcceptResult outcome = context.store().accept(submission, draft);
              context.loop().execute(() -> accepted(route, submission, outcome));
            });
  }

  /** Answers the submission of a job that no route accepts; it may have been accepted before. */
  public void submitWithoutRoute(JobSubmission submission, Consumer<AcceptResult> result) {
    List<Consumer<AcceptResult>> waitingCallbacks = pendingCallbacks.get(submission.id());
    if (waitingCallbacks != null) {
      waitingCallbacks.add(result);
      return;
    }
    repeated.answerWithoutRoute(submission, result);
  }

  /**
   * Reads results of a job, starting at position {@code after}. The owner waits for a result, if it
   * has none at that position, until a deadline in nanoseconds of the monotonic clock.
   */
  public void read(
      String id, int after, long deadlineNanos, JobAccess access, Consumer<ReadResult> result) {
    Optional<OwnedJob> owned = runner.job(id);
    if (owned.isPresent()) {
      JobHeadLookup.ifVisible(
          owned.get().head(),
          access,
          result,
          head -> readOwned(owned.get(), after, deadlineNanos, result));
      return;
    }
    heads.withVisibleHead(
        id,
        access,
        result,
        head -> {
          if (head.owner().equals(context.instance())) {
            awaitLoaded(
                id, deadlineNanos, result, () -> read(id, after, deadlineNanos, access, result));
            return;
          }
          questions.answerFromOwnerOrStore(
              head,
              owner -> peerJobs.results(owner, id, after, deadlineNanos),
              ReadResult.Page.class,
              result,
              current -> storedResults.read(current, after, result));
        });
  }

  /** Reads the request body of an item. */
  public void readBody(String id, String item, JobAccess access, Consumer<ReadResult> result) {
    Optional<OwnedJob> owned = runner.job(id);
    if (owned.isPresent()) {
      JobHeadLookup.ifVisible(
          owned.get().head(), access, result, head -> readOwnedBody(owned.get(), item, result));
      return;
    }
    heads.withVisibleHead(
        id,
        access,
        result,
        head ->
            questions.answerFromOwnerOrStore(
                head,
                owner -> peerJobs.body(owner, id, item),
                ReadResult.Body.class,
                result,
                current -> storedResults.readBody(current, item, result)));
  }

  private static void readOwnedBody(OwnedJob job, String item, Consumer<ReadResult> result) {
    OwnedItem found = job.item(item);
    result.accept(found == null ? new ReadResult.Absent() : ReadResult.Body.of(found.spec()));
  }

  /** Marks a job as ended on behalf of a client and stops its items. */
  public void end(String id, JobAccess access, Consumer<ReadResult> result) {
    if (access == JobAccess.ALL) {
      end(id, result);
    } else {
      heads.withVisibleHead(id, access, result, head -> end(id, result));
    }
  }

  private void end(String id, Consumer<ReadResult> result) {
    context
        .storeWorkers()
        .execute(
            () -> {
              WriteOutcome outcome = context.store().end(id);
              context.loop().execute(() -> endStored(id, outcome, result));
            });
  }

  /**
   * Stops a job that another instance has marked as ended. If the job is still being loaded or
   * accepted here, it does not start.
   */
  public void stopJobEndedByPeer(String id) {
    if (runner.job(id).isEmpty()) {
      if (endedBeforeStart.size() >= MAXIMUM_ENDED_JOBS) {
        endedBeforeStart.clear();
      }
      endedBeforeStart.add(id);
    }
    runner.end(id);
  }

  private void start(OwnedJob job) {
    if (endedBeforeStart.remove(job.head().id())) {
      job.setEnded();
    }
    long now = context.clock().nanos();
    job.setContactEpoch(context.fleetLoad().contactEpoch(now));
    job.setOwnerUncertain(context.fleetLoad().hasLostContact(now));
    runner.add(job);
  }

  /**
   * Checks who owns the jobs that are run here if this instance had lost contact to the others.
   * Called several times a second.
   */
  public void checkOwnershipAfterLossOfContact() {
    runner.jobs().forEach(ownershipCheck::check);
  }

  /** Returns the head of a job for a peer, as JSON, if it is known here. */
  public Optional<JsonNode> headForPeer(String id) {
    return jobHeads.find(id).map(JobHeadJson::encode);
  }

  /** Answers a peer's read; {@link ReadResult.Unavailable} if the job is not run here. */
  public void readForPeer(String id, int after, long deadlineNanos, Consumer<ReadResult> result) {
    runner
        .job(id)
        .ifPresentOrElse(
            job -> readOwned(job, after, deadlineNanos, result),
            () -> answerNotRunHere(id, result));
  }

  /** Answers a peer's body read; {@link ReadResult.Unavailable} if the job is not run here. */
  public void readBodyForPeer(String id, String item, Consumer<ReadResult> result) {
    runner
        .job(id)
        .ifPresentOrElse(
            job -> readOwnedBody(job, item, result), () -> answerNotRunHere(id, result));
  }

  /**
   * Answers a peer that takes this instance for the owner of a job that it does not run. The peer
   * may be right: the answer to the write that made this instance the owner may have been lost.
   */
  private void answerNotRunHere(String id, Consumer<ReadResult> result) {
    result.accept(new ReadResult.Unavailable("not run here"));
    if (!loading.contains(id) && !pendingCallbacks.containsKey(id)) {
      readHeadAgain(id);
    }
  }

  @Override
  public void listed(List<StoredObject> objects) {
    objects.forEach(this::changed);
    // A missing job was deleted while no watch was open, unless it was accepted after the list was
    // taken. Only expired jobs are removed, because recent ones may be of the latter kind.
    Set<String> present = new HashSet<>();
    objects.forEach(object -> present.add(object.name()));
    long now = context.clock().nanos();
    jobHeads.all().stream()
        .filter(job -> !present.contains(job.head().id()) && deleter.isExpired(job, now))
        .forEach(job -> remove(job.head().id()));
  }

  @Override
  public void changed(StoredObject object) {
    if (object.isDeleted()) {
      remove(object.name());
    } else {
      updateHead(JobStore.decode(object), object.version());
    }
  }

  /** Takes over orphaned jobs; see {@link OrphanedJobs}. Called several times a second. */
  public void takeOverOrphanedJobs(Collection<String> watchers) {
    orphans.takeOver(watchers);
  }

  /** Counts the tokens of orphaned jobs; see {@link OrphanedJobs}. */
  public void countOrphanTokens(Collection<String> watchers) {
    orphans.countTokens(watchers);
  }

  /** Deletes an expired job; see {@link ExpiredJobDeleter}. Called several times a second. */
  public void deleteExpiredJob(Collection<String> watchers) {
    deleter.deleteExpiredJob(watchers);
  }

  private void remove(String id) {
    jobHeads.remove(id);
    storedResults.remove(id);
    runner.remove(id);
  }

  private long waitingTokens(String limitName) {
    long now = context.clock().nanos();
    long tokens = runner.waitingTokens().getOrDefault(limitName, 0L);
    for (PendingTokens pending : pendingTokens.values()) {
      tokens += pending.limitName().equals(limitName) ? pending.tokens() : 0;
    }
    tokens += context.fleetLoad().others(now).waitingTokens().getOrDefault(limitName, 0L);
    return tokens + orphans.tokens().getOrDefault(limitName, 0L);
  }

  /**
   * Returns the tokens of unfinished items by the name of their limit: those of the jobs that this
   * instance runs, and of the orphaned jobs that it is responsible for.
   */
  public Map<String, Long> waitingTokens() {
    Map<String, Long> tokens = new HashMap<>(runner.waitingTokens());
    orphans.tokens().forEach((route, count) -> tokens.merge(route, count, Long::sum));
    return tokens;
  }

  /** Returns the answer to a submission; a job of another workspace is hidden. */
  private static AcceptResult visibleTo(JobSubmission submission, AcceptResult outcome) {
    boolean hidden =
        outcome instanceof AcceptResult.Accepted accepted
            && !accepted.head().isVisibleTo(submission.workspace());
    return hidden ? new AcceptResult.NoRoute() : outcome;
  }

  private void accepted(Route route, JobSubmission submission, AcceptResult outcome) {
    pendingTokens.remove(submission.id());
    if (outcome instanceof AcceptResult.Accepted accepted) {
      boolean owned = accepted.head().owner().equals(context.instance());
      jobHeads.update(accepted.head(), accepted.version(), context.clock().nanos());
      JobHead head =
          jobHeads.find(submission.id()).map(JobHeadCache.CachedJob::head).orElse(accepted.head());
      if (accepted.created() && owned && head.owner().equals(context.instance())) {
        long now = context.clock().nanos();
        start(new OwnedJob(head, submission.items(), now));
      } else if (!owned) {
        // The owner may have got no answer when it created the job.
        questions.notifyHeadChanged(accepted.head().owner(), submission.id());
      }
      context.log().log(
          LogEvent.JOB_ACCEPTED,
          EventField.of("job", submission.id()),
          EventField.of("route", route.name()),
          EventField.of("items", submission.items().size()),
          EventField.of("tokens", submission.tokens()),
          EventField.of("owner", accepted.head().owner()),
          EventField.of("version", accepted.version()));
    } else {
      context.log().log(
          LogEvent.JOB_REFUSED,
          EventField.of("job", submission.id()),
          EventField.of("outcome", outcome));
    }
    List<Consumer<AcceptResult>> callbacks = pendingCallbacks.remove(submission.id());
    loadIfOwned(submission.id());
    AcceptResult answer = visibleTo(submission, outcome);
    callbacks.forEach(waiting -> waiting.accept(answer));
  }

  private void updateHead(JobHead head, long version) {
    Optional<JobHead> before = jobHeads.find(head.id()).map(JobHeadCache.CachedJob::head);
    if (jobHeads.update(head, version, context.clock().nanos())) {
      before
          .map(JobHead::owner)
          .filter(owner -> !owner.equals(head.owner()))
          .ifPresent(owner -> notifyPreviousOwner(owner, head.id()));
      headChanged(head);
    }
    loadIfOwned(head.id());
  }

  /** The instance that has taken a job over may have failed before it could tell the owner. */
  private void notifyPreviousOwner(String owner, String id) {
    if (context.fleetLoad().isLive(owner, context.clock().nanos())) {
      questions.notifyHeadChanged(owner, id);
    }
  }

  private void headChanged(JobHead head) {
    if (head.owner().equals(context.instance())) {
      if (head.ended()) {
        runner.end(head.id());
      }
      return;
    }
    if (head.ended() && context.fleetLoad().isLive(head.owner(), context.clock().nanos())) {
      // The instance that has ended the job may have failed before it could tell the owner.
      peerJobs.notifyEnded(head.owner(), head.id());
    }
    runner.drop(head.id());
  }

  /** Loads a job if this instance owns it and neither runs nor accepts it. */
  private void loadIfOwned(String id) {
    if (runner.job(id).isEmpty() && !pendingCallbacks.containsKey(id)) {
      jobHeads
          .find(id)
          .map(JobHeadCache.CachedJob::head)
          .filter(head -> head.owner().equals(context.instance()))
          .ifPresent(this::load);
    }
  }

  /** Loads the items and results of a job that this instance owns, then runs it. */
  private void load(JobHead head) {
    // A retry may follow a load that another event has begun and that has already succeeded. A
    // second load would replace the job, with the output that its running items have received.
    if (runner.job(head.id()).isPresent() || !loading.add(head.id())) {
      return;
    }
    context
        .storeWorkers()
        .execute(
            () -> {
              StoreResult<List<ItemSpec>> items = context.store().readItems(head);
              StoreResult<List<List<JobResult>>> chunks = context.store().readChunks(head.id(), 0);
              // Read last: the job may have ended, or have another owner, since the head was read.
              StoreResult<StoredObject> newest = context.store().read(head.id());
              context
                  .loop()
                  .execute(
                      () -> {
                        if (newest instanceof StoreResult.Done<StoredObject> done) {
                          changed(done.value());
                        } else if (newest instanceof StoreResult.Absent) {
                          loading.remove(head.id());
                          remove(head.id());
                          return;
                        }
                        loaded(head, items, chunks);
                      });
            });
  }

  private void loaded(
      JobHead head, StoreResult<List<ItemSpec>> items, StoreResult<List<List<JobResult>>> chunks) {
    loading.remove(head.id());
    JobHead current = jobHeads.find(head.id()).map(JobHeadCache.CachedJob::head).orElse(head);
    if (!current.owner().equals(context.instance()) || runner.job(head.id()).isPresent()) {
      return;
    }
    if (items instanceof StoreResult.Done<List<ItemSpec>> specs
        && chunks instanceof StoreResult.Done<List<List<JobResult>>> results) {
      long now = context.clock().nanos();
      OwnedJob job = new OwnedJob(current, specs.value(), now);
      results.value().forEach(job::addChunk);
      // The previous owner, or the previous process of this instance, may still store results.
      job.setLoadedFromStore();
      start(job);
      context.log().log(
          LogEvent.JOB_LOADED,
          EventField.of("job", current.id()),
          EventField.of("items", job.items().size()),
          EventField.of("listed", job.storedResults().size()),
          EventField.of("ended", job.isEnded()));
    } else {
      context.log().log(
          LogEvent.STORE_UNAVAILABLE,
          EventField.of("job", head.id()),
          EventField.of("items", items.getClass().getSimpleName()),
          EventField.of("results", chunks.getClass().getSimpleName()));
      context
          .loop()
          .scheduleAt(context.clock().deadlineAfterMillis(STORE_RETRY_MILLIS), () -> load(current));
    }
  }

  private void readOwned(OwnedJob job, int after, long deadlineNanos, Consumer<ReadResult> result) {
    ownershipCheck.check(job);
    ownedReads.read(job, after, deadlineNanos, result);
  }

  private void awaitLoaded(
      String id, long deadlineNanos, Consumer<ReadResult> result, Runnable task) {
    if (runner.job(id).isPresent()) {
      task.run();
    } else if (context.clock().hasPassed(deadlineNanos)) {
      result.accept(new ReadResult.Unavailable("the job is being loaded"));
    } else {
      context
          .loop()
          .scheduleAt(
              context.clock().deadlineAfterMillis(LOAD_POLL_MILLIS),
              () -> awaitLoaded(id, deadlineNanos, result, task));
    }
  }

  /** Reads the head of a job again, whose owner may have changed. */
  public void readHeadAgain(String id) {
    heads.read(id, ignored -> {}, head -> {});
  }

  private void endStored(String id, WriteOutcome outcome, Consumer<ReadResult> result) {
    if (outcome instanceof WriteOutcome.Written written) {
      JobHead head = JobStore.decode(written.object());
      updateHead(head, written.object().version());
      runner.end(id);
      if (!head.owner().equals(context.instance())) {
        questions.notifyEnded(head.owner(), id);
      }
      result.accept(new ReadResult.Ended());
    } else if (outcome instanceof WriteOutcome.Lost lost && lost.current() == null) {
      result.accept(new ReadResult.Absent());
    } else {
      result.accept(new ReadResult.Unavailable(outcome.toString()));
    }
  }
}
